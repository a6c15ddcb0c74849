//! Points as Graphite takes them: plaintext lines, or frames of pickled lists.

use crate::series::{Place, Point};
use crate::settings::Form;
use serde_pickle::SerOptions;

/// Points of one pickle frame; a receiver takes no frames without bound.
const BATCH: usize = 500;

/// Who reports.
#[derive(Clone, Debug, Default)]
pub struct MetricSource {
    /// The deployment, made safe.
    pub deployment: String,
    /// The courier's number.
    pub me: u32,
}

/// The name of a point's series.
pub fn name(who: &MetricSource, point: &Point, tags: bool) -> String {
    let field = point.field;
    if tags {
        let mut name = format!("linnetcart.edge.{field};deployment={};edge={}", who.deployment, who.me);
        let (dest, class, route) = match &point.place {
            Place::Courier => (None, None, None),
            Place::Class(class) => (None, Some(class), None),
            Place::Dest(dest) => (Some(dest), None, None),
            Place::Cell(dest, class) => (Some(dest), Some(class), None),
            Place::Route(dest, route) => (Some(dest), None, Some(route)),
        };
        dest.iter().for_each(|d| name.extend([";dest=", d]));
        class.iter().for_each(|c| name.extend([";class=", c]));
        route.iter().for_each(|r| name.extend([";route=", &r.to_string()]));
        return name;
    }
    let place = match &point.place {
        Place::Courier => "courier".to_owned(),
        Place::Class(class) => format!("class.{class}"),
        Place::Dest(dest) => format!("dest.{dest}"),
        Place::Cell(dest, class) => format!("dest.{dest}.class.{class}"),
        Place::Route(dest, route) => format!("dest.{dest}.route.{route}"),
    };
    format!("linnetcart.{}.edge.{}.{place}.{field}", who.deployment, who.me)
}

/// Points at a second since 1970, as pieces that may be sent and dropped one by one; each with its points.
pub fn encode(
    who: &MetricSource,
    points: &[Point],
    second: u64,
    form: Form,
    tags: bool,
) -> Vec<(Vec<u8>, u32)> {
    let named = |p: &Point| (name(who, p, tags), p.value.as_f64());
    let pieces = points.chunks(BATCH).map(|chunk| {
        let bytes = match form {
            Form::Plaintext => plaintext(chunk.iter().map(|p| (name(who, p, tags), p)), second),
            Form::Pickle => pickle(chunk.iter().map(named), second),
        };
        (bytes, chunk.len() as u32)
    });
    pieces.collect()
}

fn plaintext<'a>(points: impl Iterator<Item = (String, &'a Point)>, second: u64) -> Vec<u8> {
    let mut out = String::new();
    for (name, point) in points {
        out.extend([name.as_str(), " ", &point.value.to_string(), " ", &second.to_string(), "\n"]);
    }
    out.into_bytes()
}

/// A frame: its length in four bytes, most significant first, then a pickled list of (name, (time, value)).
fn pickle(points: impl Iterator<Item = (String, f64)>, second: u64) -> Vec<u8> {
    let list: Vec<(String, (u64, f64))> = points.map(|(name, value)| (name, (second, value))).collect();
    // Protocol 2 is the one that every receiver reads. Strings, tuples and numbers only: this cannot fail.
    let body = serde_pickle::to_vec(&list, SerOptions::new().proto_v2()).unwrap_or_default();
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    frame
}

/// Reads a line of the plaintext form: name, value, time.
pub fn read_line(line: &str) -> Option<(&str, f64, u64)> {
    let mut words = line.split_ascii_whitespace();
    let read = (words.next()?, words.next()?.parse().ok()?, words.next()?.parse::<f64>().ok()? as u64);
    words.next().is_none().then_some(read)
}

/// Reads a pickled list.
pub fn read_pickle(body: &[u8]) -> Option<Vec<(String, f64, u64)>> {
    let list: Vec<(String, (f64, f64))> = serde_pickle::from_slice(body, Default::default()).ok()?;
    Some(list.into_iter().map(|(name, (at, value))| (name, value, at as u64)).collect())
}

#[cfg(test)]
mod tests;
