//! Which daemons and targets there are, and which daemons a team should use.

mod listing;
