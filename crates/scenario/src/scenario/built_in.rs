//! The scenarios that are compiled into the program.

/// A scenario that is compiled into the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BuiltInScenario {
    /// The name, which is also the `name` in the document.
    pub name: &'static str,
    /// The TOML document.
    pub text: &'static str,
}

/// Includes the document of this name from the package's `scenarios` directory.
macro_rules! built_in {
    ($name:literal) => {
        BuiltInScenario { name: $name, text: include_str!(concat!("../../scenarios/", $name, ".toml")) }
    };
}

/// All built-in scenarios, in the order in which they are listed.
pub const BUILT_IN: &[BuiltInScenario] = &[
    built_in!("bad-day"),
    built_in!("quiet"),
    built_in!("errors"),
    built_in!("shut"),
    built_in!("silent"),
    built_in!("slow"),
    built_in!("shared-slow"),
    built_in!("answers-lost"),
    built_in!("throttle"),
    built_in!("drains"),
    built_in!("vanish"),
    built_in!("down"),
    built_in!("pauses"),
    built_in!("sudden-load"),
    built_in!("hot-destinations"),
    built_in!("uneven-couriers"),
    built_in!("couriers-killed"),
    built_in!("couriers-rolled"),
    built_in!("couriers-stall"),
    built_in!("list-late"),
    built_in!("list-out"),
    built_in!("idle-dropped"),
    built_in!("class-fails"),
    built_in!("slow-connect"),
    built_in!("batches"),
    built_in!("month-end"),
    built_in!("partition"),
    built_in!("partition-one-way"),
    built_in!("partition-clients"),
    built_in!("links-cut"),
    built_in!("links-slow"),
    built_in!("disk-damaged"),
];

/// Returns the built-in scenario of this name, or `None` if there is none.
pub(super) fn find(name: &str) -> Option<&'static BuiltInScenario> {
    BUILT_IN.iter().find(|scenario| scenario.name == name)
}

/// Returns the names of all built-in scenarios, separated by commas.
pub(super) fn names() -> String {
    let names: Vec<&str> = BUILT_IN.iter().map(|scenario| scenario.name).collect();
    names.join(", ")
}
