//! Size, colours and layout that several charts share.

use anyhow::anyhow;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;

/// Width and height in pixels.
pub(super) const SIZE: (u32, u32) = (760, 380);
pub(super) const COLOURS: [RGBColor; 3] =
    [RGBColor(31, 119, 180), RGBColor(255, 127, 14), RGBColor(44, 160, 44)];
/// Font size of captions, in pixels.
pub(super) const CAPTION_SIZE: u32 = 18;
const FONT: &str = "sans-serif";

/// Converts an error of the drawing library (plotters).
pub(crate) fn drawing_error<E: Error + Send + Sync + 'static>(
    error: DrawingAreaErrorKind<E>,
) -> anyhow::Error {
    anyhow!("the chart could not be drawn: {error}")
}

/// The caption of a chart, its font size, and the width of the labels of the vertical axis, both in pixels.
pub(crate) struct ChartLayout<'a> {
    pub(crate) caption: &'a str,
    pub(crate) caption_size: u32,
    pub(crate) y_label_width: u32,
}

impl ChartLayout<'_> {
    /// Begins a chart on an area; the caller adds the axes.
    pub(crate) fn on<'a, 'b, DB: DrawingBackend>(
        &self,
        area: &'a DrawingArea<DB, Shift>,
    ) -> ChartBuilder<'a, 'b, DB> {
        let mut builder = ChartBuilder::on(area);
        builder
            .caption(self.caption, (FONT, self.caption_size))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(self.y_label_width);
        builder
    }
}
