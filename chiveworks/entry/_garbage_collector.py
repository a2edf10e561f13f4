"""Settings of Python's cyclic garbage collector for a server process."""

import gc

#: Allocations that start a collection of the youngest generation. The default of
#: 700 is reached every few requests.
_YOUNGEST_THRESHOLD = 50_000
_MIDDLE_THRESHOLD = 20
_OLDEST_THRESHOLD = 100


def tune_garbage_collector() -> None:
    """Makes collections rarer and exempts the objects created at startup.

    Call it once, after all components have been created and before serving starts.
    Requests create almost no reference cycles, while full collections raise the
    99th percentile of the latency.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_YOUNGEST_THRESHOLD, _MIDDLE_THRESHOLD, _OLDEST_THRESHOLD)
