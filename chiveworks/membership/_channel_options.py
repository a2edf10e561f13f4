"""Options of gRPC channels and servers."""

_MAX_MESSAGE_BYTES = 64 << 20

#: Keepalive pings after 10 s without data detect dead connections, which are closed
#: when a ping is not acknowledged within 2 s. A channel without calls for 30 s closes
#: its connection, so that peers in other zones cost nothing while they are idle.
CLIENT_OPTIONS: tuple[tuple[str, int], ...] = (
    ('grpc.keepalive_time_ms', 10000),
    ('grpc.keepalive_timeout_ms', 2000),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.client_idle_timeout_ms', 30000),
    # A new channel must not reuse the dead connection of the one it replaces.
    ('grpc.use_local_subchannel_pool', 1),
    # Peers are addressed by IP, so proxy environment variables and DNS lookups of
    # a service config are disabled.
    ('grpc.enable_http_proxy', 0),
    ('grpc.service_config_disable_resolution', 1),
    # Bandwidth probes (BDP) would add a ping to every response.
    ('grpc.http2.bdp_probe', 0),
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
)

SERVER_OPTIONS: tuple[tuple[str, int], ...] = (
    # Without port sharing, a second process with the same address fails to bind.
    ('grpc.so_reuseport', 0),
    ('grpc.http2.max_ping_strikes', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', 5000),
    ('grpc.keepalive_permit_without_calls', 1),
    # Clients ping every 10 s, so a client that sends nothing for 60 s is gone.
    ('grpc.keepalive_time_ms', 60000),
    ('grpc.keepalive_timeout_ms', 5000),
    ('grpc.http2.bdp_probe', 0),
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
)
