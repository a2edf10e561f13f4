"""Job ids and content digests."""

import xxhash

from chiveworks.base import JobId
from chiveworks.membership import JobSubmission


def job_id_of(submission: JobSubmission) -> JobId:
    """Returns the job id, which is the same for all submissions with this key.

    The id starts with the tenant, so that all jobs of a tenant share a key prefix
    in the store.
    """
    digest = xxhash.xxh3_128_hexdigest(
        f'{submission.tenant}\n{submission.key}'.encode()
    )
    return JobId(f'{submission.tenant}.{digest}')


def content_digest_of(submission: JobSubmission) -> str:
    """Returns a digest of the catalogue entry and the payloads."""
    digest = xxhash.xxh3_128(submission.entry.encode())
    for payload in submission.payloads:
        encoded = payload.encode()
        digest.update(f'{len(encoded)}:'.encode())
        digest.update(encoded)
    return digest.hexdigest()
