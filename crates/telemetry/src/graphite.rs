//! Graphite's formats: plaintext lines, or frames of pickled lists. Names points, encodes and decodes them; opens no
//! connection.

use crate::series::{Point, SeriesSubject};
use crate::settings::Form;
use serde_pickle::SerOptions;

#[cfg(test)]
mod tests;

/// Points of one chunk, and so of one pickle frame: receivers limit the size of a frame.
const MAX_CHUNK_POINTS: usize = 500;

/// The courier that reports.
#[derive(Clone, Debug, Default)]
pub struct MetricSource {
    /// The deployment, made safe for a path.
    pub deployment: String,
    /// The courier's number.
    pub courier: u32,
}

/// How series are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameStyle {
    /// Long paths.
    Paths,
    /// Short names with tags.
    Tags,
}

/// How points are encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Encoding {
    /// Lines or pickled lists.
    pub form: Form,
    /// Paths or tags.
    pub names: NameStyle,
}

/// Points with their names, encoded; sent as a whole or dropped as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The encoded points.
    pub bytes: Vec<u8>,
    /// How many there are.
    pub points: u32,
}

/// A point as it was decoded.
#[derive(Clone, Debug, PartialEq)]
struct NamedValue {
    name: String,
    value: f64,
}

/// The name of a point's series.
pub fn name(source: &MetricSource, point: &Point, style: NameStyle) -> String {
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

/// Points at a second since 1970, in chunks that may be sent and dropped one by one.
pub fn encode(source: &MetricSource, points: &[Point], second: u64, encoding: Encoding) -> Vec<Chunk> {
    let mut chunks = Vec::with_capacity(points.len().div_ceil(MAX_CHUNK_POINTS));
    for points in points.chunks(MAX_CHUNK_POINTS) {
        let bytes = match encoding.form {
            Form::Plaintext => encode_plaintext(source, points, second, encoding.names),
            Form::Pickle => {
                let named = points.iter().map(|point| NamedValue {
                    name: name(source, point, encoding.names),
                    value: point.value.as_f64(),
                });
                encode_pickle(named, second)
            }
        };
        chunks.push(Chunk { bytes, points: points.len() as u32 });
    }
    chunks
}

fn encode_plaintext(source: &MetricSource, points: &[Point], second: u64, names: NameStyle) -> Vec<u8> {
    let second = second.to_string();
    let mut lines = String::new();
    for point in points {
        let name = name(source, point, names);
        let value = point.value.to_string();
        lines.extend([name.as_str(), " ", value.as_str(), " ", second.as_str(), "\n"]);
    }
    lines.into_bytes()
}

/// A frame: its length in four bytes, most significant first, then a pickled list of (name, (time, value)).
fn encode_pickle(points: impl Iterator<Item = NamedValue>, second: u64) -> Vec<u8> {
    let list: Vec<(String, (u64, f64))> = points.map(|point| (point.name, (second, point.value))).collect();
    // Protocol 2 is the one that every receiver reads. Strings, tuples and numbers only: this cannot fail.
    let body = serde_pickle::to_vec(&list, SerOptions::new().proto_v2()).unwrap_or_default();
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    frame
}

/// Reads a line of the plaintext form: name, value, and time in seconds since 1970.
pub fn read_line(line: &str) -> Option<(&str, f64, u64)> {
    let mut words = line.split_ascii_whitespace();
    let name = words.next()?;
    let value = words.next()?.parse().ok()?;
    let time: f64 = words.next()?.parse().ok()?;
    let is_end = words.next().is_none();
    is_end.then_some((name, value, time as u64))
}

/// Reads a pickled list: names, values, and times in seconds since 1970.
pub fn read_pickle(body: &[u8]) -> Option<Vec<(String, f64, u64)>> {
    let list: Vec<(String, (f64, f64))> = serde_pickle::from_slice(body, Default::default()).ok()?;
    Some(list.into_iter().map(|(name, (time, value))| (name, value, time as u64)).collect())
}
