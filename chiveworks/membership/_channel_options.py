"""Options of gRPC channels and servers."""

_MAX_MESSAGE_BYTES = 64 << 20

#: A ping after 10 s without data finds connections that went silent; 2 s without
#: an answer close them. A channel without calls for 30 s closes its connection, so
#: that peers of other zones cost nothing while they are not called.
CLIENT_OPTIONS: tuple[tuple[str, int], ...] = (
    ('grpc.keepalive_time_ms', 10000),
    ('grpc.keepalive_timeout_ms', 2000),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.client_idle_timeout_ms', 30000),
    # A new channel must not share the silent connection of the one it replaces.
    ('grpc.use_local_subchannel_pool', 1),
    # Peers are reached by IP address; proxy settings of the environment and DNS
    # look-ups of a service configuration do not apply.
    ('grpc.enable_http_proxy', 0),
    ('grpc.service_config_disable_resolution', 1),
    # Bandwidth probes add a ping to every answer.
    ('grpc.http2.bdp_probe', 0),
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
)

SERVER_OPTIONS: tuple[tuple[str, int], ...] = (
    # Two processes with the same address are an error in the settings.
    ('grpc.so_reuseport', 0),
    ('grpc.http2.max_ping_strikes', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', 5000),
    ('grpc.keepalive_permit_without_calls', 1),
    # Clients ping every 10 s; a minute without data means that one is gone.
    ('grpc.keepalive_time_ms', 60000),
    ('grpc.keepalive_timeout_ms', 5000),
    ('grpc.http2.bdp_probe', 0),
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
)
