use super::series::DestinationSeries;
use super::table;
use linnetcart_telemetry::stream::Stream;

#[test]
fn series_names_of_all_three_forms_are_the_same_destination() {
    for name in [
        "linnetcart.bank.edge.3.dest.kolo.taken",
        "linnetcart.edge.taken;deployment=bank;edge=3;dest=kolo",
        "linnetcart-bank-3.linnetcart.dest-kolo.taken",
    ] {
        let series = DestinationSeries::parse(name).expect(name);
        assert_eq!((&*series.courier, &*series.destination), ("3", "kolo"), "{name}");
        assert_eq!(series.field, "taken", "{name}");
    }
    for name in [
        "linnetcart.bank.edge.3.dest.kolo.class.order.taken",
        "linnetcart.edge.taken;deployment=bank;edge=3;dest=kolo;class=order",
        "linnetcart-bank-3.linnetcart.dest-kolo-class-order.taken",
        "linnetcart.bank.edge.3.courier.taken",
    ] {
        assert_eq!(DestinationSeries::parse(name), None, "{name}");
    }
}

#[test]
fn table_has_ejected_destinations_first_and_counts_that_fell() {
    let mut stream = Stream::default();
    for (dest, state, used) in [("a", 2.0, 0.2), ("b", 2.0, 0.9), ("c", 0.0, 0.1)] {
        let name = |field: &str| format!("linnetcart.bank.edge.3.dest.{dest}.{field}");
        stream.record_point(&name("state"), state, 5);
        stream.record_point(&name("limit_used_share"), used, 5);
        stream.record_point(&name("taken"), 9.0, 5);
    }
    stream.record_point("linnetcart.bank.edge.3.dest.a.taken", 8.0, 6);
    let text = table(&stream);
    let at = |row: &str| text.find(row).unwrap_or_else(|| panic!("{row} in {text}"));
    assert!(at("3       c ") < at("3       b ") && at("3       b ") < at("3       a "), "{text}");
    assert!(text.contains("OUT") && text.contains("A COUNT FELL"), "{text}");
}
