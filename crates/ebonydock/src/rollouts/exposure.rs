//! Budget of requests that a version may get before it is known to be good.
