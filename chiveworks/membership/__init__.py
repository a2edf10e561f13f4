"""RPCs between entry processes and propagation of the configuration."""

from chiveworks.membership._config_follower import ConfigFollower
from chiveworks.membership._config_page import ConfigPage
from chiveworks.membership._config_push import ConfigPush
from chiveworks.membership._config_replica import ConfigReplica
from chiveworks.membership._config_source import ConfigSource
from chiveworks.membership._config_sync import ConfigSync
from chiveworks.membership._exchange_handler import ExchangeHandler
from chiveworks.membership._exchange_reply import ExchangeReply
from chiveworks.membership._exchange_request import ExchangeRequest
from chiveworks.membership._failure_reason import FailureReason
from chiveworks.membership._job_count import JobCount
from chiveworks.membership._job_registration import JobRegistration
from chiveworks.membership._job_state import JobState
from chiveworks.membership._job_submission import JobSubmission
from chiveworks.membership._job_transfer import JobTransfer
from chiveworks.membership._job_view import JobView
from chiveworks.membership._local_shard import LocalShard
from chiveworks.membership._override_action import OverrideAction
from chiveworks.membership._override_kind import OverrideKind
from chiveworks.membership._override_resolution import OverrideResolution
from chiveworks.membership._override_view import OverrideView
from chiveworks.membership._owner_record import OwnerRecord
from chiveworks.membership._owner_table import OwnerTable
from chiveworks.membership._peer import Peer
from chiveworks.membership._peer_directory import PeerDirectory
from chiveworks.membership._peer_exchange import PeerExchange
from chiveworks.membership._peer_pool import PeerPool
from chiveworks.membership._peer_server import PeerServer
from chiveworks.membership._peer_status import PeerStatus
from chiveworks.membership._shard_client import ShardClient
from chiveworks.membership._shard_failure import ShardFailure, reason_of
from chiveworks.membership._shard_handler import ShardHandler
from chiveworks.membership._shard_view import ShardView
from chiveworks.membership._task_count import TaskCount
from chiveworks.membership._task_state import TaskState
from chiveworks.membership._task_view import TaskView

__all__ = (
    'ConfigFollower',
    'ConfigPage',
    'ConfigPush',
    'ConfigReplica',
    'ConfigSource',
    'ConfigSync',
    'ExchangeHandler',
    'ExchangeReply',
    'ExchangeRequest',
    'FailureReason',
    'JobCount',
    'JobRegistration',
    'JobState',
    'JobSubmission',
    'JobTransfer',
    'JobView',
    'LocalShard',
    'OverrideAction',
    'OverrideKind',
    'OverrideResolution',
    'OverrideView',
    'OwnerRecord',
    'OwnerTable',
    'Peer',
    'PeerDirectory',
    'PeerExchange',
    'PeerPool',
    'PeerServer',
    'PeerStatus',
    'ShardClient',
    'ShardFailure',
    'ShardHandler',
    'ShardView',
    'TaskCount',
    'TaskState',
    'TaskView',
    'reason_of',
)
