"""Linear regression that is updated sample by sample."""

from collections.abc import Sequence


class LinearFit:
    """Recursive least squares with a prior that all weights are 0.

    Written out, since a numerical library would add 20 MB to the memory of each process
    for a few products of three numbers.

    Args:
        prior_variances: Variance of each weight before the first sample.
        noise_variance: Variance of a sample around its prediction.

    Attributes:
        weights_: Estimated weights.
    """

    def __init__(self, prior_variances: Sequence[float], noise_variance: float) -> None:
        size = len(prior_variances)
        self.weights_ = [float(0) for _weight in prior_variances]
        self._noise_variance = noise_variance
        self._covariance = [
            [variance if row == column else float(0) for column in range(size)]
            for row, variance in enumerate(prior_variances)
        ]

    def partial_fit(self, features: Sequence[float], target: float) -> 'LinearFit':
        """Updates the weights with one sample."""
        projected = [_dot(row, features) for row in self._covariance]
        scale = self._noise_variance + _dot(projected, features)
        residual = target - self.predict(features)
        self.weights_ = [
            weight + share / scale * residual
            for weight, share in zip(self.weights_, projected, strict=True)
        ]
        self._covariance = [
            [
                covariance - share * other / scale
                for covariance, other in zip(row, projected, strict=True)
            ]
            for row, share in zip(self._covariance, projected, strict=True)
        ]
        return self

    def predict(self, features: Sequence[float]) -> float:
        """Returns the expected target."""
        return _dot(self.weights_, features)


def _dot(first: Sequence[float], second: Sequence[float]) -> float:
    return sum(one * other for one, other in zip(first, second, strict=True))
