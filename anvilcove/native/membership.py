"""Adapter for the membership list."""

from typing import TypeVar

from aiohttp import ClientSession
from loguru import logger
from msgspec import Raw, field

from anvilcove.messages.addresses import parse_address
from anvilcove.messages.base import Message, MessageError, decode
from anvilcove.messages.membership import (
    EndpointMember,
    HostMember,
    Members,
)
from anvilcove.messages.nesting import prune_nesting
from anvilcove.native.http import store_call
from anvilcove.ports.errors import StoreUnavailable
from anvilcove.ports.registry import adapter
from anvilcove.settings.daemon import AdapterSettings

E = TypeVar('E', HostMember, EndpointMember)


class _RawMembers(Message):
    """Membership list whose entries are not decoded yet."""

    hosts: list[Raw] = field(default_factory=list)
    endpoints: list[Raw] = field(default_factory=list)


def decode_members(data: bytes) -> Members:
    """Decode a list, without the entries that are malformed.

    Raises StoreUnavailable if it is no list, or if no entry is sound: the
    list before is better than an empty one.
    """
    try:
        raw = _decode_list(data)
    except MessageError as error:
        raise StoreUnavailable(str(error)) from error
    members = Members(
        hosts=_sound_entries(raw.hosts, HostMember),
        endpoints=_sound_entries(raw.endpoints, EndpointMember),
    )
    listed = len(raw.hosts) + len(raw.endpoints)
    if listed and not members.hosts and not members.endpoints:
        raise StoreUnavailable(f'none of {listed} entries is sound')
    return members


def _decode_list(data: bytes) -> _RawMembers:
    try:
        return decode(data, _RawMembers)
    except MessageError:
        return decode(prune_nesting(data), _RawMembers)


def _sound_entries(entries: list[Raw], entry_type: type[E]) -> list[E]:
    found: list[E] = []
    for entry in entries:
        try:
            member = decode(bytes(entry), entry_type)
            if parse_address(member.address) is None:
                raise MessageError(f'address {member.address[:60]!r}')
            found.append(member)
        except MessageError as error:
            logger.bind(entry=bytes(entry)[:80], reason=str(error)).warning(
                'entry of the membership list skipped'
            )
    return found


@adapter('membership', 'http_json')
class HttpMembership:
    """Client of the membership list over HTTP with JSON."""

    __slots__ = ('_base_url', '_session', '_timeout_s', '_etag', '_members')

    def __init__(
        self, settings: AdapterSettings, session: ClientSession
    ) -> None:
        """Keep the address; no call is made."""
        self._base_url = f'http://{settings.address}'
        self._session = session
        self._timeout_s = settings.timeout_ms / 1000
        self._etag = ''
        self._members = Members()

    async def members(self) -> Members:
        """Read the current list.

        If the service sends entity tags, an unchanged list is not transferred
        again, and the object of the previous call is returned.
        """
        condition = {'If-None-Match': self._etag} if self._etag else {}
        async with store_call(
            self._session,
            'GET',
            f'{self._base_url}/members',
            self._timeout_s,
            headers=condition,
            expected=(200, 304),
        ) as response:
            if response.status == 304:
                return self._members
            members = decode_members(await response.read())
            self._etag = response.headers.get('ETag', '')
            self._members = members
            return members
