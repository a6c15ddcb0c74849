//! Start of reporting: restores the counters of an earlier run and creates the counter files.

use super::reporting::Reporting;
use crate::core::Core;
use crate::counter_files::{self, CounterFiles, LoadedCounters};
use crate::shell::Shell;
use linnetcart::Time;
use linnetcart_telemetry::settings::Telemetry as TelemetrySettings;
use linnetcart_telemetry::{CourierInfo, NamedClass, RestoredState, Telemetry};
use std::path::Path;

impl Shell {
    /// Starts reporting once the courier and telemetry have settings, or applies changed settings to it.
    /// Counters continue from those of an earlier run.
    pub(in crate::shell) fn configure_reporting(&mut self) {
        let now = self.now();
        let (Some(settings), Some(core)) = (&self.program.telemetry, &self.program.core) else { return };
        if let Some(reporting) = &mut self.reporting {
            if reporting.telemetry.settings() != settings {
                reporting.telemetry.configure(settings.clone(), now);
                reporting.configure_metrics_listener(&mut self.net);
            }
            return;
        }
        let courier = courier_info(core, self.program.start_options.seed);
        let settings = settings.clone();
        if let Some(mut reporting) = self.start_reporting(courier, settings, now) {
            reporting.configure_metrics_listener(&mut self.net);
            self.reporting = Some(reporting);
        }
    }

    /// Starts reporting. Returns `None` if the counter files cannot be read or written. Reporting anyway
    /// would restart the counters at zero, so the next iteration tries again.
    fn start_reporting(
        &mut self,
        courier: CourierInfo,
        settings: TelemetrySettings,
        now: Time,
    ) -> Option<Reporting> {
        let Some(dir) = self.options.state_dir.clone() else {
            let telemetry = Telemetry::new(courier, RestoredState::default(), settings, now);
            return Some(Reporting::new(telemetry, None));
        };
        let loaded = self.load_counters(&dir, now)?;
        let telemetry = Telemetry::new(courier, loaded.restored, settings, now);
        let created = CounterFiles::create(&dir, loaded.next_log, telemetry.saved(), &telemetry.log_header());
        match created {
            Ok(files) => Some(Reporting::new(telemetry, Some(files))),
            Err(error) => {
                if self.log_limiter.permits(now) {
                    tracing::error!(%error, "counters not writable, nothing is reported");
                }
                None
            }
        }
    }

    /// Loads the counters of an earlier run. Returns `None` if they cannot be read.
    fn load_counters(&mut self, dir: &Path, now: Time) -> Option<LoadedCounters> {
        let loaded = match counter_files::load(dir) {
            Ok(loaded) => loaded,
            Err(error) => {
                if self.log_limiter.permits(now) {
                    tracing::error!(dir = %dir.display(), %error, "counters not readable");
                }
                return None;
            }
        };
        if let Some(damaged) = &loaded.damaged {
            let moved_to = damaged.moved_to.display();
            tracing::error!(
                error = %damaged.error,
                %moved_to,
                "damaged counters set aside, counting begins at zero"
            );
            self.program.state_error = Some(damaged.to_string());
        }
        Some(loaded)
    }
}

/// Returns the identity and the classes of the courier, which do not change while it runs.
fn courier_info(core: &Core, seed: u64) -> CourierInfo {
    let settings = core.settings();
    let library_classes = settings.library_settings().classes;
    let named = settings.classes.iter().zip(library_classes);
    let classes = named.map(|(settings, class)| NamedClass { name: settings.name.clone(), class });
    CourierInfo {
        deployment: settings.deployment.clone(),
        courier_index: settings.courier.index,
        classes: classes.collect(),
        weight_halves: settings.weights.halves,
        seed,
    }
}
