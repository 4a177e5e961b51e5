"""Ships declarations between hosts as the sections that have changed."""

import collections

import msgspec

from hemlockhoist.base import DeclarationError, get_logger
from hemlockhoist.decisions.configuration import FullContent
from hemlockhoist.declarations import (
    SectionDelta,
    SectionReader,
    merge_sections,
    missing_sections,
    sections,
)
from hemlockhoist.messages.configuration import ConfigurationContent

# A host that asks is at most some changes behind: at 32,000 changes a day this many
# are 40 seconds, three times what a change may take to every host.
MANIFESTS_KEPT = 16

_log = get_logger("host.section_content")


class SectionContent(FullContent):
    """Packs changes for a host whose version is known here, the whole for others.

    At 1,300 hosts and 32,000 changes a day, the whole (some 220 KB with 1,700
    customers) would be 80 KB/s for each host, three times what control may use.
    """

    __slots__ = ("_held", "_manifests", "_reader", "_sections")

    def __init__(self):
        self._held = None
        self._sections = None
        self._manifests = collections.OrderedDict()
        self._reader = SectionReader()

    def pack(self, declarations, have_version, address):
        """Return the ``ConfigurationContent`` for a host that has ``have_version``."""
        whole = self._cut(declarations)
        manifest = self._manifests.get(have_version)
        if manifest is None:
            return super().pack(declarations, have_version, address)
        delta = missing_sections(manifest, whole)
        return ConfigurationContent(
            address=address,
            version=declarations.version,
            base_version=have_version,
            changes=msgspec.msgpack.encode(delta),
        )

    def unpack(self, content, current):
        """Return the declarations of a content message.

        Returns
        =======
        Declarations or None
            None when the changes do not fit what this host has, or can not be read:
            taken all the same, they would be a mixture of two versions that nobody
            declared. The whole is asked for instead.
        """
        if content.declarations is not None:
            # Cut now, while it is known which version it is: whoever is one version
            # behind the next one can then be sent changes by this host too. Left out,
            # a host that once got the whole would go on to send the whole.
            self._cut(content.declarations)
            return content.declarations
        try:
            delta = msgspec.msgpack.decode(content.changes, type=SectionDelta)
            merged = merge_sections(self._cut(current), delta)
            declarations = self._reader.read(merged)
        except (msgspec.DecodeError, UnicodeDecodeError, DeclarationError) as error:
            _log.info("changes_do_not_fit", version=content.version, reason=str(error))
            return None
        if declarations.version != content.version:
            return None
        self._keep(declarations, merged)
        return declarations

    def _cut(self, declarations):
        """Return the sections of declarations, cut once for each version."""
        if self._held is not declarations:
            self._keep(declarations, sections(declarations))
        return self._sections

    def _keep(self, declarations, whole):
        self._held, self._sections = declarations, whole
        self._manifests[declarations.version] = whole.manifest
        while len(self._manifests) > MANIFESTS_KEPT:
            self._manifests.popitem(last=False)
