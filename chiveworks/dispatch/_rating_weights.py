"""Weights in the rating of workers for a task."""

from typing import Final

#: Penalty, in shares of a worker's processors, for a rack other than that of the
#: input data.
REMOTE_PENALTY: Final = 2.0
#: Penalty for a worker that rejected the task or on which it failed or stalled.
AVOIDED_PENALTY: Final = 4.0
#: Penalty per share of the filling images that a worker can no longer run without
#: interference once a task of a further serving image runs there.
MIXED_IMAGES_PENALTY: Final = 6.0
#: Bonus for a worker that already runs a serving task of the same image.
SAME_IMAGE_BONUS: Final = 1.0
#: Penalty per unit of latency headroom that a filling task takes from serving tasks.
TAKEN_PENALTY: Final = 0.5
#: Penalty per unit of headroom lost beyond what the serving tasks can spare.
LOSS_PENALTY: Final = 2.0
#: Maximum loss of headroom in excess of the spare headroom. Above it, a filling task
#: waits for another worker.
EXCESS_LIMIT: Final = 0.1
#: Share of a worker's processors by which filling tasks may be overcommitted. Tasks
#: that are starting, restoring or ending use no processor time, and reports show
#: half of the claimed processor time in use.
OVERCOMMIT_SHARE: Final = 0.3
