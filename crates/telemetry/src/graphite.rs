//! Graphite's formats: plaintext lines and length-prefixed frames of pickled lists.
//!
//! This module names, encodes and decodes points. It never opens a connection.

use crate::series::{Point, SeriesSubject};
use crate::settings::Form;
use serde_pickle::SerOptions;

#[cfg(test)]
mod tests;

/// Maximum number of points in a chunk, and so in a pickle frame: receivers limit the size of a frame.
const MAX_CHUNK_POINTS: usize = 500;

/// The courier that reports, as it appears in names of series.
#[derive(Clone, Debug, Default)]
pub struct MetricSource {
    /// Name of the deployment, safe for a path.
    pub deployment: String,
    /// The courier's number.
    pub courier: u32,
}

/// How series are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameStyle {
    /// Dotted paths: `linnetcart.<deployment>.edge.<courier>.<subject>.<metric>`.
    Paths,
    /// Tags: `linnetcart.edge.<metric>;deployment=<deployment>;edge=<courier>`, then the tags of the subject.
    Tags,
}

/// How points are named and encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Encoding {
    /// Format of the encoded points.
    pub form: Form,
    /// Whether series names are dotted paths or tagged.
    pub names: NameStyle,
}

/// Encoded points, the unit in which the send buffer sends or drops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The points in the format of the receiver.
    pub bytes: Vec<u8>,
    /// Number of points.
    pub points: u32,
}

/// A point with the full name of its series, as a receiver decodes it.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedPoint {
    /// Name of the series.
    pub name: String,
    /// The value.
    pub value: f64,
    /// Timestamp of the point, in seconds since 1970.
    pub time_s: u64,
}

/// Returns the name of a point's series.
pub fn series_name(source: &MetricSource, point: &Point, style: NameStyle) -> String {
    match style {
        NameStyle::Paths => path_name(source, point),
        NameStyle::Tags => tagged_name(source, point),
    }
}

fn tagged_name(source: &MetricSource, point: &Point) -> String {
    let MetricSource { deployment, courier } = source;
    let name = format!("linnetcart.edge.{};deployment={deployment};edge={courier}", point.metric);
    match &point.subject {
        SeriesSubject::Courier => name,
        SeriesSubject::Class(class) => format!("{name};class={class}"),
        SeriesSubject::Destination(destination) => format!("{name};dest={destination}"),
        SeriesSubject::DestinationAndClass { destination, class } => {
            format!("{name};dest={destination};class={class}")
        }
        SeriesSubject::Route { destination, endpoint } => {
            format!("{name};dest={destination};route={endpoint}")
        }
    }
}

fn path_name(source: &MetricSource, point: &Point) -> String {
    let subject = match &point.subject {
        SeriesSubject::Courier => "courier".to_owned(),
        SeriesSubject::Class(class) => format!("class.{class}"),
        SeriesSubject::Destination(destination) => format!("dest.{destination}"),
        SeriesSubject::DestinationAndClass { destination, class } => {
            format!("dest.{destination}.class.{class}")
        }
        SeriesSubject::Route { destination, endpoint } => format!("dest.{destination}.route.{endpoint}"),
    };
    format!("linnetcart.{}.edge.{}.{subject}.{}", source.deployment, source.courier, point.metric)
}

/// Encodes points with a timestamp in seconds since 1970, in chunks that can be decoded independently.
pub fn encode(source: &MetricSource, points: &[Point], time_s: u64, encoding: Encoding) -> Vec<Chunk> {
    let mut chunks = Vec::with_capacity(points.len().div_ceil(MAX_CHUNK_POINTS));
    for points in points.chunks(MAX_CHUNK_POINTS) {
        let bytes = match encoding.form {
            Form::Plaintext => encode_plaintext(source, points, time_s, encoding.names),
            Form::Pickle => {
                let named = points.iter().map(|point| NamedPoint {
                    name: series_name(source, point, encoding.names),
                    value: point.value.as_f64(),
                    time_s,
                });
                encode_pickle(named)
            }
        };
        chunks.push(Chunk { bytes, points: points.len() as u32 });
    }
    chunks
}

fn encode_plaintext(source: &MetricSource, points: &[Point], time_s: u64, names: NameStyle) -> Vec<u8> {
    let time = time_s.to_string();
    let mut lines = String::new();
    for point in points {
        let name = series_name(source, point, names);
        let value = point.value.to_string();
        lines.extend([name.as_str(), " ", value.as_str(), " ", time.as_str(), "\n"]);
    }
    lines.into_bytes()
}

/// Encodes a frame: the length of the list as a big-endian `u32`, then a pickled list of
/// (name, (timestamp, value)).
fn encode_pickle(points: impl Iterator<Item = NamedPoint>) -> Vec<u8> {
    let list: Vec<(String, (u64, f64))> =
        points.map(|point| (point.name, (point.time_s, point.value))).collect();
    // Every receiver reads protocol 2. The list holds only strings, tuples and numbers, so this cannot fail.
    let body = serde_pickle::to_vec(&list, SerOptions::new().proto_v2()).unwrap_or_default();
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    frame
}

/// Decodes a line of the plaintext format, `name value timestamp`; `None` if it is not a point.
pub fn decode_line(line: &str) -> Option<NamedPoint> {
    let mut words = line.split_ascii_whitespace();
    let name = words.next()?.to_owned();
    let value = words.next()?.parse().ok()?;
    let time: f64 = words.next()?.parse().ok()?;
    let is_end = words.next().is_none();
    is_end.then_some(NamedPoint { name, value, time_s: time as u64 })
}

/// Decodes a pickled list of points, without the length of its frame; `None` if it is something else.
pub fn decode_pickle(body: &[u8]) -> Option<Vec<NamedPoint>> {
    let list: Vec<(String, (f64, f64))> = serde_pickle::from_slice(body, Default::default()).ok()?;
    let mut points = Vec::with_capacity(list.len());
    for (name, (time, value)) in list {
        points.push(NamedPoint { name, value, time_s: time as u64 });
    }
    Some(points)
}
