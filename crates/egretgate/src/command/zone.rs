//! `zone drain` and `zone restore`.

use egretgate_operator::proto;
use egretgate_operator::proto::zone_request::Action;

use super::args::{Flag, Parsed, Spec};
use super::connect;
use super::failure::Result;
use super::output::Output;

const FLAGS: &[Flag] = &[Flag {
    name: "revision",
    unit: "NUMBER",
    help: "Revision of the zone that is expected, 0 if it is not drained [default: the current].",
}];

/// `zone drain`.
pub(super) static DRAIN: Spec = Spec {
    words: &["zone", "drain"],
    operands: &["ZONE"],
    about: "Gives the zone's upstreams no new requests; running ones end.",
    flags: FLAGS,
    remote: true,
};

/// `zone restore`.
pub(super) static RESTORE: Spec = Spec {
    words: &["zone", "restore"],
    operands: &["ZONE"],
    about: "Gives the upstreams of a drained zone requests again.",
    flags: FLAGS,
    remote: true,
};

/// Drains a zone.
pub(super) async fn drain(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    let reply = send(parsed, Action::Drain, output).await?;
    let zone = parsed.operand(0).unwrap_or_default();
    if reply.upstreams == 0 {
        output.progress(format_args!("warning: no upstream is known in zone {zone}"));
    }
    if reply.remaining == 0 {
        output.progress("warning: no upstream is known outside drained zones; all are refused");
    }
    Ok(())
}

/// Restores a drained zone.
pub(super) async fn restore(parsed: &Parsed, output: &mut Output<'_>) -> Result<()> {
    send(parsed, Action::Restore, output).await.map(|_| ())
}

async fn send(
    parsed: &Parsed,
    action: Action,
    output: &mut Output<'_>,
) -> Result<proto::ZoneReply> {
    let author = Some(parsed.author()?);
    let zone = parsed.operand(0).unwrap_or_default().to_owned();
    let mut client = connect::first(&parsed.settings, output).await?;
    let revision = if parsed.has("revision") {
        parsed.parse_or("revision", "a whole number", 0)?
    } else {
        let status = client.status().await?;
        status.zones.iter().find(|drained| drained.zone == zone).map_or(0, |zone| zone.revision)
    };
    let request = proto::ZoneRequest { author, zone, action: action.into(), revision };
    let reply = client.zone(request).await?;
    let upstreams = reply.upstreams;
    output.line(format_args!("accepted at offset {}, upstreams {upstreams}", reply.offset))?;
    Ok(reply)
}
