//! Rules that bind several settings together.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::fault::Fault;
use crate::value::Secret;

/// Address of a setting that has not been read.
pub(crate) const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// A flag with the address that it names.
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

/// Returns a fault if `listen` is open to other machines and no token guards it.
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

/// Returns what [`crate::Setting::show`] gives for a secret.
pub(crate) fn redacted(secret: Option<&Secret>) -> Vec<String> {
    secret.map(|_| String::new()).into_iter().collect()
}

/// Returns true if both addresses can't be used by one process. Port 0 is picked by the system.
fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let same = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    same && a.port() == b.port() && a.port() != 0
}
