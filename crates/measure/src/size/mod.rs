//! What a gatekeeper costs as the fleet and its load grow: each figure at five sizes or more, with the form of its
//! growth.

pub(crate) mod control;
pub(crate) mod fit;
