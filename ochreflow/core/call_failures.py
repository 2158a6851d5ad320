"""The reasons for which a call to discovery fails without an answer, as they are logged."""

CONNECTION_REFUSED = "CONNECTION_REFUSED"  # no process accepts connections at the address
CONNECT_FAILED = "CONNECT_FAILED"  # no connection came up, for any other cause
TIMEOUT = "TIMEOUT"  # the call was not answered in time, and has been given up
NO_ANSWER = "no answer in time"  # the same, but the call is still open
