//! Stand-ins for the platform, engines and plain services.
