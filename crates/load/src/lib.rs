//! Open-loop load tool with a report.
