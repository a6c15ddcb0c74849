use super::*;
use crate::series::PointValue;
use proptest::prelude::*;

const PLAINTEXT: Encoding = Encoding { form: Form::Plaintext, names: NameStyle::Paths };
const PICKLE: Encoding = Encoding { form: Form::Pickle, names: NameStyle::Paths };

fn source() -> MetricSource {
    MetricSource { deployment: "bank_north".into(), courier: 3 }
}

#[test]
fn series_names_and_lines_match_documented_format() {
    let point = Point::new(
        SeriesSubject::DestinationAndClass { destination: "kolo".into(), class: "order".into() },
        "taken",
        PointValue::Counter(12),
    );
    assert_eq!(
        series_name(&source(), &point, NameStyle::Paths),
        "linnetcart.bank_north.edge.3.dest.kolo.class.order.taken"
    );
    assert_eq!(
        series_name(&source(), &point, NameStyle::Tags),
        "linnetcart.edge.taken;deployment=bank_north;edge=3;dest=kolo;class=order"
    );
    let half = Point::new(SeriesSubject::Courier, "slots_used", PointValue::Gauge(0.5));
    let chunks = encode(&source(), &[point, half], 1_700_000_000, PLAINTEXT);
    assert_eq!(
        String::from_utf8(chunks[0].bytes.clone()).expect("text"),
        "linnetcart.bank_north.edge.3.dest.kolo.class.order.taken 12 1700000000\n\
         linnetcart.bank_north.edge.3.courier.slots_used 0.5 1700000000\n"
    );
}

#[test]
fn series_names_of_each_subject_match_documented_paths_and_tags() {
    let destination = || "kolo".to_owned();
    let class = || "order".to_owned();
    let subjects = [
        SeriesSubject::Courier,
        SeriesSubject::Class(class()),
        SeriesSubject::Destination(destination()),
        SeriesSubject::DestinationAndClass { destination: destination(), class: class() },
        SeriesSubject::Route { destination: destination(), endpoint: 7 },
    ];
    let points = subjects.map(|subject| Point::new(subject, "full", PointValue::Counter(1)));
    let paths = points.each_ref().map(|point| series_name(&source(), point, NameStyle::Paths));
    let wanted = ["courier", "class.order", "dest.kolo", "dest.kolo.class.order", "dest.kolo.route.7"];
    assert_eq!(paths, wanted.map(|subject| format!("linnetcart.bank_north.edge.3.{subject}.full")));
    let tagged = points.each_ref().map(|point| series_name(&source(), point, NameStyle::Tags));
    let wanted = ["", ";class=order", ";dest=kolo", ";dest=kolo;class=order", ";dest=kolo;route=7"];
    assert_eq!(tagged, wanted.map(|tags| format!("linnetcart.edge.full;deployment=bank_north;edge=3{tags}")));
}

#[test]
fn pickle_frame_encoded_matches_published_opcodes() {
    let point = NamedPoint { name: "a.b".to_owned(), value: 1.5, time_s: 7 };
    let frame = encode_pickle([point].into_iter());
    // Derived by hand from the opcodes: PROTO 2, EMPTY_LIST, MARK, MARK, BINUNICODE with its length, MARK,
    // BININT, BINFLOAT, TUPLE, TUPLE, APPENDS, STOP.
    let body = b"\x80\x02]((X\x03\x00\x00\x00a.b(J\x07\x00\x00\x00G\x3f\xf8\x00\x00\x00\x00\x00\x00tte.";
    assert_eq!(frame, [&(body.len() as u32).to_be_bytes()[..], body].concat());
}

proptest! {
    #[test]
    fn points_encoded_decode_to_same_values(
        values in prop::collection::vec((0u64..1 << 50, "[a-z]{1,8}"), 1..40), time_s in 0u64..1 << 32,
    ) {
        let mut points = Vec::new();
        let mut expected = Vec::new();
        for (count, destination) in values {
            let subject = SeriesSubject::Destination(destination);
            let point = Point::new(subject, "taken", PointValue::Counter(count));
            let name = series_name(&source(), &point, NameStyle::Paths);
            expected.push(NamedPoint { name, value: count as f64, time_s });
            points.push(point);
        }
        let lines = encode(&source(), &points, time_s, PLAINTEXT);
        let lines: Vec<u8> = lines.into_iter().flat_map(|chunk| chunk.bytes).collect();
        let text = String::from_utf8(lines).expect("text");
        let decoded: Vec<NamedPoint> = text.lines().filter_map(decode_line).collect();
        prop_assert_eq!(&decoded, &expected);
        let frames = encode(&source(), &points, time_s, PICKLE);
        let decode = |frame: &Chunk| decode_pickle(&frame.bytes[4..]).expect("a list");
        let decoded: Vec<NamedPoint> = frames.iter().flat_map(decode).collect();
        prop_assert_eq!(&decoded, &expected);
    }

    #[test]
    fn random_pickle_decoded_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_pickle(&bytes);
    }
}
