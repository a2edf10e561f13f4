"""Identity of a job."""

import xxhash

from chiveworks.base import JobId
from chiveworks.membership import JobSubmission


def job_id_of(submission: JobSubmission) -> JobId:
    """Returns the id under which every submission with this key is found.

    The tenant is part of the id, so that a tenant's jobs share a key prefix.
    """
    digest = xxhash.xxh3_128_hexdigest(
        f'{submission.tenant}\n{submission.key}'.encode()
    )
    return JobId(f'{submission.tenant}.{digest}')


def content_digest_of(submission: JobSubmission) -> str:
    """Returns a digest of what is to be run."""
    digest = xxhash.xxh3_128(submission.entry.encode())
    for payload in submission.payloads:
        encoded = payload.encode()
        digest.update(f'{len(encoded)}:'.encode())
        digest.update(encoded)
    return digest.hexdigest()
