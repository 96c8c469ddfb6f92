//! Stand-ins for tests of hookway.
