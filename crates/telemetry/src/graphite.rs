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
mod tests {
    use super::*;
    use crate::series::Value;
    use proptest::prelude::*;

    fn who() -> MetricSource {
        MetricSource { deployment: "bank_north".into(), me: 3 }
    }

    #[test]
    fn names_and_lines_are_as_described() {
        let point = Point::new(Place::Cell("kolo".into(), "order".into()), "taken", Value::Count(12));
        assert_eq!(name(&who(), &point, false), "linnetcart.bank_north.edge.3.dest.kolo.class.order.taken");
        assert_eq!(
            name(&who(), &point, true),
            "linnetcart.edge.taken;deployment=bank_north;edge=3;dest=kolo;class=order"
        );
        let half = Point::new(Place::Courier, "slots_used", Value::Gauge(0.5));
        let pieces = encode(&who(), &[point, half], 1_700_000_000, Form::Plaintext, false);
        assert_eq!(
            String::from_utf8(pieces[0].0.clone()).expect("text"),
            "linnetcart.bank_north.edge.3.dest.kolo.class.order.taken 12 1700000000\n\
             linnetcart.bank_north.edge.3.courier.slots_used 0.5 1700000000\n"
        );
    }

    #[test]
    fn a_pickle_frame_is_what_the_published_form_says() {
        let frame = pickle([("a.b".to_owned(), 1.5)].into_iter(), 7);
        // Worked out by hand from the opcodes: PROTO 2, EMPTY_LIST, MARK, MARK, BINUNICODE with its length, MARK,
        // BININT, BINFLOAT, TUPLE, TUPLE, APPENDS, STOP.
        let body = b"\x80\x02]((X\x03\x00\x00\x00a.b(J\x07\x00\x00\x00G\x3f\xf8\x00\x00\x00\x00\x00\x00tte.";
        assert_eq!(frame, [&(body.len() as u32).to_be_bytes()[..], body].concat());
    }

    proptest! {
        #[test]
        fn both_forms_come_back_as_they_went(
            values in prop::collection::vec((0u64..1 << 50, "[a-z]{1,8}"), 1..40), second in 0u64..1 << 32,
        ) {
            let points: Vec<Point> =
                values.iter().map(|(n, d)| Point::new(Place::Dest(d.clone()), "taken", Value::Count(*n))).collect();
            let wanted: Vec<_> =
                points.iter().map(|p| (name(&who(), p, false), p.value.as_f64(), second)).collect();
            let lines = encode(&who(), &points, second, Form::Plaintext, false).concat_bytes();
            let text = String::from_utf8(lines).expect("text");
            let read: Vec<_> = text.lines().filter_map(read_line).map(|(n, v, t)| (n.to_owned(), v, t)).collect();
            prop_assert_eq!(&read, &wanted);
            let frames = encode(&who(), &points, second, Form::Pickle, false);
            let read: Vec<_> = frames.iter().flat_map(|f| read_pickle(&f.0[4..]).expect("a list")).collect();
            prop_assert_eq!(&read, &wanted);
        }

        #[test]
        fn random_pickles_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = read_pickle(&bytes);
        }
    }

    trait Concat {
        fn concat_bytes(self) -> Vec<u8>;
    }

    impl Concat for Vec<(Vec<u8>, u32)> {
        fn concat_bytes(self) -> Vec<u8> {
            self.into_iter().flat_map(|p| p.0).collect()
        }
    }
}
