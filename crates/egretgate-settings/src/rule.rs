//! Rules that involve more than one setting.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::fault::Fault;
use crate::value::Secret;

/// Address of a setting that has no value yet.
pub(crate) const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// A flag with its address.
type FlagAddress = (&'static str, SocketAddr);

/// Returns a fault for each pair of addresses that can't both be used.
pub(crate) fn address_conflicts(addresses: impl IntoIterator<Item = FlagAddress>) -> Vec<Fault> {
    let addresses: Vec<FlagAddress> = addresses.into_iter().collect();
    let mut faults = Vec::new();
    for (index, (flag, address)) in addresses.iter().enumerate() {
        for (other_flag, other_address) in &addresses[..index] {
            if overlap(*address, *other_address) {
                faults.push(Fault::new(
                    *flag,
                    format!("{address} is taken by {other_flag} {other_address}"),
                ));
            }
        }
    }
    faults
}

/// Returns a fault if `listener` is open to other machines and no token is set.
pub(crate) fn missing_token(
    listener: FlagAddress,
    flag: &str,
    token: Option<&Secret>,
) -> Option<Fault> {
    let (name, address) = listener;
    let open = !address.ip().is_loopback();
    (open && token.is_none()).then(|| {
        Fault::new(name, format!("{address} is open to other machines; set {flag} or use loopback"))
    })
}

/// Returns the values that [`crate::Setting::show`] gives for a secret: an empty text if it is set.
pub(crate) fn redacted(secret: Option<&Secret>) -> Vec<String> {
    secret.map(|_| String::new()).into_iter().collect()
}

/// Returns true if two listeners can't use both addresses. Port 0 never overlaps, because the
/// system chooses a free port for it.
fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let same = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    same && a.port() == b.port() && a.port() != 0
}
