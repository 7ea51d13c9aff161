"""The targets document that operators edit, and its validation."""

from typing import Annotated, Any, Literal

import pydantic

from pollenthread.app import validation_errors
from pollenthread.core import targets

__all__ = [
    'InvalidDocument', 'Name', 'StrictModel', 'TargetsModel', 'WorkspaceModel',
    'describe_errors', 'parse_targets', 'check_unique'
]

_PERCENT = 100.0

Name = Annotated[str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')]


class InvalidDocument(Exception):
    """A document is invalid; the message lists the keys and their errors."""


class StrictModel(pydantic.BaseModel):
    """Base of models that reject unknown keys and type conversions."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True, frozen=True)


class _LatencyModel(StrictModel):
    """A latency target; limits that are not set are None.

    Attributes:
        first_token_ms: time to the first token, in milliseconds.
        between_tokens_ms: time between tokens, in milliseconds.
        answer_ms: time to the complete response, in milliseconds.
    """

    first_token_ms: Annotated[int, pydantic.Field(ge=10, le=600_000)] | None = (
        None)
    between_tokens_ms: Annotated[int,
                                 pydantic.Field(ge=1, le=60_000)] | None = None
    answer_ms: Annotated[int, pydantic.Field(ge=5, le=3_600_000)] | None = None

    @pydantic.model_validator(mode='after')
    def _check_consistent(self) -> '_LatencyModel':
        if self.first_token_ms is None and self.answer_ms is None:
            raise ValueError('set first_token_ms or answer_ms')
        if self.between_tokens_ms is not None and self.first_token_ms is None:
            raise ValueError('between_tokens_ms needs first_token_ms')
        if (self.first_token_ms is not None and self.answer_ms is not None and
                self.first_token_ms > self.answer_ms):
            raise ValueError('first_token_ms must not exceed answer_ms: '
                             'the first token is a part of the answer')
        return self


class _ClassModel(StrictModel):
    """A class of requests in a workspace.

    Attributes:
        latency: the latency target.
        retries: how often a request may be retried.
        repeatable: whether a request may be executed more than once.
        importance: the importance relative to other classes under overload.
    """

    latency: _LatencyModel
    retries: Annotated[int, pydantic.Field(ge=0, le=10)]
    repeatable: bool
    importance: Literal['low', 'normal', 'high'] = 'normal'


class WorkspaceModel(StrictModel):
    """A workspace.

    Attributes:
        models: the models that it may use.
        services: the services that it may use.
        classes: the classes of its requests, by name.
    """

    models: list[Name] = []
    services: list[Name] = []
    classes: Annotated[dict[Name, _ClassModel], pydantic.Field(min_length=1)]

    @pydantic.field_validator('models', 'services')
    @classmethod
    def _check_names_unique(cls, names: list[str]) -> list[str]:
        return check_unique(names)

    @pydantic.model_validator(mode='after')
    def _check_has_upstream(self) -> 'WorkspaceModel':
        if not self.models and not self.services:
            raise ValueError('name at least one entry in models or services')
        return self


class _BalanceModel(StrictModel):
    """Targets of the load balance between ranks.

    Attributes:
        skew: target load of the busiest rank relative to the mean.
        rebalancing_budget_percent: share of capacity that rebalancing may use.
    """

    skew: Annotated[float, pydantic.Field(ge=1.0, le=10.0)] = 1.05
    rebalancing_budget_percent: Annotated[float,
                                          pydantic.Field(ge=0.0, le=50.0)] = 1.0


class TargetsModel(StrictModel):
    """The targets document.

    Attributes:
        workspaces: the workspaces, by name.
        draining: the hosts that are taken out of service.
        emptied_data_centres: the data centres whose upstreams get no new work.
        balance: targets of the load balance between ranks.
    """

    workspaces: dict[Name, WorkspaceModel]
    draining: list[Name] = []
    emptied_data_centres: list[Name] = []
    balance: _BalanceModel = _BalanceModel()

    @pydantic.field_validator('draining', 'emptied_data_centres')
    @classmethod
    def _check_names_unique(cls, names: list[str]) -> list[str]:
        return check_unique(names)

    def to_targets(self, version: int) -> targets.Targets:
        """Converts the document to the internal representation.

        Args:
            version: the version number of the document.
        """
        return targets.Targets(version=version,
                               draining=frozenset(self.draining),
                               emptied_data_centres=frozenset(
                                   self.emptied_data_centres),
                               balance=_to_balance(self.balance),
                               workspace_by_name={
                                   name: _to_workspace(name, model)
                                   for name, model in self.workspaces.items()
                               })


def _to_balance(model: _BalanceModel) -> targets.RankBalance:
    return targets.RankBalance(skew=model.skew,
                               budget_share=model.rebalancing_budget_percent /
                               _PERCENT)


def _to_workspace(name: str, model: WorkspaceModel) -> targets.WorkspaceTargets:
    return targets.WorkspaceTargets(name=name,
                                    models=frozenset(model.models),
                                    services=frozenset(model.services),
                                    class_by_name={
                                        key: _to_work_class(key, item)
                                        for key, item in model.classes.items()
                                    })


def _to_work_class(name: str, model: _ClassModel) -> targets.WorkClass:
    return targets.WorkClass(
        name=name,
        latency=targets.LatencyTarget(
            first_token_ms=model.latency.first_token_ms,
            between_tokens_ms=model.latency.between_tokens_ms,
            answer_ms=model.latency.answer_ms),
        retries=model.retries,
        repeatable=model.repeatable,
        importance=targets.Importance[model.importance.upper()])


def check_unique(names: list[str]) -> list[str]:
    """Returns the names if all are different.

    Raises:
        ValueError: a name occurs more than once.
    """
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f'{name} stands twice')
    return names


def parse_targets(
    document: Any,
    name: str = 'targets',
    line_of: validation_errors.LineLookup = validation_errors.unknown_line
) -> TargetsModel:
    """Validates a targets document.

    Args:
        document: the document, as parsed from JSON or YAML.
        name: the document's name in error messages.
        line_of: returns the line number of a key, or None if it is not known.

    Returns:
        The validated document.

    Raises:
        InvalidDocument: the document is invalid.
    """
    try:
        return TargetsModel.model_validate(document)
    except pydantic.ValidationError as error:
        raise InvalidDocument(
            validation_errors.describe_errors(name,
                                              error,
                                              model=TargetsModel,
                                              line_of=line_of)) from error


def describe_errors(name: str, error: pydantic.ValidationError) -> str:
    """Describes validation errors, without the allowed values."""
    return validation_errors.describe_errors(name, error, model=StrictModel)
