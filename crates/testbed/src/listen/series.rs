//! Parses the names of destinations' series in the three forms that reports use.

use std::collections::BTreeMap;

/// The parts of the name of a series about a whole destination, not one of its classes or routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DestinationSeries {
    pub(super) courier: String,
    pub(super) destination: String,
    pub(super) field: String,
}

impl DestinationSeries {
    fn new(courier: &str, destination: &str, field: &str) -> DestinationSeries {
        let owned = str::to_owned;
        DestinationSeries { courier: owned(courier), destination: owned(destination), field: owned(field) }
    }

    /// Parses a Graphite path (`linnetcart.DEPLOYMENT.edge.COURIER.dest.DESTINATION.FIELD`), a Graphite name
    /// with tags (`linnetcart.edge.FIELD;deployment=...;edge=COURIER;dest=DESTINATION`) or a collectd name
    /// (`HOST-COURIER.linnetcart.dest-DESTINATION.FIELD`). Returns `None` for any other series.
    pub(super) fn parse(name: &str) -> Option<DestinationSeries> {
        match name.split_once(';') {
            Some((path, tags)) => DestinationSeries::parse_tagged(path, tags),
            None => DestinationSeries::parse_path(name),
        }
    }

    fn parse_tagged(path: &str, tags: &str) -> Option<DestinationSeries> {
        let tags: BTreeMap<&str, &str> = tags.split(';').filter_map(|tag| tag.split_once('=')).collect();
        if tags.contains_key("class") || tags.contains_key("route") {
            return None;
        }
        let field = path.rsplit('.').next()?;
        Some(DestinationSeries::new(tags.get("edge")?, tags.get("dest")?, field))
    }

    fn parse_path(name: &str) -> Option<DestinationSeries> {
        let parts: Vec<&str> = name.split('.').collect();
        match parts.as_slice() {
            ["linnetcart", _, "edge", courier, "dest", destination, field] => {
                Some(DestinationSeries::new(courier, destination, field))
            }
            [host, "linnetcart", instance, field] => {
                let destination = instance.strip_prefix("dest-")?;
                if destination.contains("-class-") || destination.contains("-route-") {
                    return None;
                }
                let courier = host.rsplit('-').next().unwrap_or(host);
                Some(DestinationSeries::new(courier, destination, field))
            }
            _ => None,
        }
    }
}
