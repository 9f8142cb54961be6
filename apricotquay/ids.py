"""Identifier types, so that a type checker rejects a team in place of a job."""

import hashlib
from typing import NewType

TeamId = NewType("TeamId", str)
KeyHash = NewType("KeyHash", str)
RouteName = NewType("RouteName", str)
ModelName = NewType("ModelName", str)
EndpointId = NewType("EndpointId", str)
MemberId = NewType("MemberId", str)
Incarnation = NewType("Incarnation", str)
JobId = NewType("JobId", str)
RequestId = NewType("RequestId", str)
WriterId = NewType("WriterId", str)
StreamName = NewType("StreamName", str)
Offset = NewType("Offset", int)
ResourceName = NewType("ResourceName", str)


def hash_key(key: str) -> KeyHash:
    """Return the hash under which a caller's key is stored.

    Keys are long random strings, so an unsalted SHA-256 cannot be reversed by
    guessing, and it can be looked up without trying every stored hash.
    """
    return KeyHash(hashlib.sha256(key.encode()).hexdigest())


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    text = "\x1f".join(parts).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def derive_job_id(team: TeamId, job_key: str) -> JobId:
    """Return the job id of a team's job key, the same on every daemon."""
    return JobId(f"batch_{stable_hash('job', team, job_key):016x}")


def rendezvous_order(resource: str, members: list[MemberId]) -> list[MemberId]:
    """Sort members by their rank for a resource, most preferred first.

    Source: highest random weight hashing, Thaler and Ravishankar, 1998.
    """
    return sorted(members, key=lambda m: (-stable_hash(resource, m), m))
