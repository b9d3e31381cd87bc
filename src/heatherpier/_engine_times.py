"""Times by which a proxy engine follows the tables of the store."""

# Time for which one watch of a table waits for a change. A watch on an unresponsive
# connection fails 1.2 s later, which is within the 5 s after which a VM counts as
# connected again.
LONG_POLL_S = 3.2
# Watches of the fleet's table renew the leases on primaries; this lets two of them end
# within the time of a lease.
FLEET_LONG_POLL_S = 1.2
# Minimum time between two calls for the same table. While many proxies start, each
# registration changes the fleet's table; followers that a voter can serve have found
# it within this time, and need no second call.
WATCH_PERIOD_S = 0.4
# Time that the first read of the fleet's table waits for this proxy's registration.
REGISTRATION_S = 0.2
# Age of the copy up to which the routing table may answer that a database does not
# exist. An unresponsive watch is noticed within this time, and the VM does not count
# as connected again before it has passed.
CONFIGURATION_MAX_AGE_S = 5.0
# From this age on, the copy of the instances' table does not show whether an entry that
# it lacks was removed.
INSTANCES_MAX_AGE_S = LONG_POLL_S + 1.5
