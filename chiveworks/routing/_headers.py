"""Header names, and selection of the headers to forward."""

from collections.abc import Mapping

from multidict import CIMultiDict, istr

DEADLINE_MS = istr('X-Chiveworks-Deadline-Ms')
REQUEST_ID = istr('X-Request-Id')
NOT_RUN = istr('X-Chiveworks-Not-Run')
LEAVING = istr('X-Chiveworks-Leaving')

#: Hop-by-hop headers (RFC 9110, section 7.6.1), and those that are set for each hop.
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-chiveworks-leaving',
        'x-chiveworks-not-run',
    )
)


def end_to_end(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Returns the end-to-end headers, without hop-by-hop ones."""
    named = headers.get('Connection', '')
    dropped = _HOP_BY_HOP
    if named:
        dropped = dropped | {name.strip().lower() for name in named.split(',')}
    return CIMultiDict(
        (name, text) for name, text in headers.items() if name.lower() not in dropped
    )
