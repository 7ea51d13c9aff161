"""The document of targets that operators edit, checked at the border."""

from typing import Annotated, Any, Literal

import pydantic

from pollenthread.core import targets

__all__ = [
    'InvalidDocument', 'Name', 'Strict', 'TargetsModel', 'explain',
    'parse_targets'
]

Name = Annotated[str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')]


class InvalidDocument(Exception):
    """The document cannot be used; the text says which key and why."""


class Strict(pydantic.BaseModel):
    """Refuses unknown keys and silent conversions."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True, frozen=True)


class _LatencyModel(Strict):
    """A latency target."""

    first_token_ms: Annotated[int, pydantic.Field(ge=10, le=600_000)] | None = (
        None)
    between_tokens_ms: Annotated[int,
                                 pydantic.Field(ge=1, le=60_000)] | None = None
    answer_ms: Annotated[int, pydantic.Field(ge=5, le=3_600_000)] | None = None

    @pydantic.model_validator(mode='after')
    def _has_target(self) -> '_LatencyModel':
        if self.first_token_ms is None and self.answer_ms is None:
            raise ValueError('set first_token_ms or answer_ms')
        return self


class _ClassModel(Strict):
    """One class of work."""

    latency: _LatencyModel
    retries: Annotated[int, pydantic.Field(ge=0, le=10)]
    repeatable: bool
    importance: Literal['low', 'normal', 'high'] = 'normal'


class _WorkspaceModel(Strict):
    """One workspace."""

    models: list[Name] = []
    services: list[Name] = []
    classes: dict[Name, _ClassModel]


class TargetsModel(Strict):
    """The document of targets that operators edit."""

    workspaces: dict[Name, _WorkspaceModel]

    def to_targets(self, version: int) -> targets.Targets:
        """Makes the inner form of this document."""
        return targets.Targets(version=version,
                               workspace_by_name={
                                   name: _workspace(name, model)
                                   for name, model in self.workspaces.items()
                               })


def _workspace(name: str, model: _WorkspaceModel) -> targets.Workspace:
    return targets.Workspace(
        name=name,
        models=frozenset(model.models),
        services=frozenset(model.services),
        class_by_name={
            key: _work_class(key, item) for key, item in model.classes.items()
        })


def _work_class(name: str, model: _ClassModel) -> targets.WorkClass:
    return targets.WorkClass(
        name=name,
        latency=targets.Latency(
            first_token_ms=model.latency.first_token_ms,
            between_tokens_ms=model.latency.between_tokens_ms,
            answer_ms=model.latency.answer_ms),
        retries=model.retries,
        repeatable=model.repeatable,
        importance=targets.Importance[model.importance.upper()])


def parse_targets(document: Any, name: str = 'targets') -> TargetsModel:
    """Checks a document of targets.

    Raises:
        InvalidDocument: it is not valid.
    """
    try:
        return TargetsModel.model_validate(document)
    except pydantic.ValidationError as error:
        raise InvalidDocument(explain(name, error)) from error


def explain(name: str, error: pydantic.ValidationError) -> str:
    """One line for each key that is wrong."""
    lines = []
    for item in error.errors():
        key = '.'.join(str(part) for part in item['loc'])
        lines.append(f'{name}: {key}: {item["msg"]}')
    return '\n'.join(lines)
