"""The newest version of a document, and patches from earlier ones to it."""

import collections
from collections.abc import Sequence

from pollenthread.core import document_patch

__all__ = ['DocumentHistory']

_MAX_PATCHES = 64


class DocumentHistory:
    """Provides a document to peers that may know an earlier version.

    Attributes:
        document: the newest version; empty before the first.
        version: its number; `EMPTY_VERSION` before the first.
    """

    def __init__(self) -> None:
        self.document = b''
        self.version = document_patch.EMPTY_VERSION
        # Each applies to the result of the one before it.
        self._patches: collections.deque[document_patch.DocumentPatch] = (
            collections.deque(maxlen=_MAX_PATCHES))
        self._whole: document_patch.DocumentPatch | None = None

    def record(
        self,
        document: bytes,
        version: int,
        patches: Sequence[document_patch.DocumentPatch] = ()) -> None:
        """Records a newer version.

        Args:
            document: the document.
            version: its number.
            patches: those that led to it from the version before, if known.
        """
        if not patches or patches[0].base != self.version:
            patches = (document_patch.make_patch(self.document,
                                                 document,
                                                 base=self.version,
                                                 version=version),)
        if patches[0].is_whole:
            self._patches.clear()
            self._whole = patches[-1] if len(patches) == 1 else None
        else:
            self._patches.extend(patches)
            self._whole = None
        self.document = document
        self.version = version

    def patches_after(self, version: int) -> list[document_patch.DocumentPatch]:
        """Returns the patches that lead from a version to the newest one.

        Args:
            version: the version that a peer knows.

        Returns:
            A patch of the whole document if the way from that version is not
            known or longer than that, and nothing if it is the newest.
        """
        if version >= self.version:
            return []
        found: list[document_patch.DocumentPatch] = []
        for patch in self._patches:
            if found or patch.base == version:
                found.append(patch)
        whole = self._make_whole()
        size = sum(len(patch.content) for patch in found)
        return found if found and size < len(whole.content) else [whole]

    def _make_whole(self) -> document_patch.DocumentPatch:
        if self._whole is None:
            self._whole = document_patch.make_patch(
                b'',
                self.document,
                base=document_patch.EMPTY_VERSION,
                version=self.version)
        return self._whole
