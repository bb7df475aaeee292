//! Tests of whole instances, as separate processes between stand-ins.

mod path;
mod site;
