/// Regression of actual run times on declared ones, in logarithms. Pure: no clock, no input or output.
#pragma once

namespace WisteriaHill::Scheduling {

/// Weighted sums over the runs of one queue for a linear regression; x is the logarithm of the declared run time in
/// milliseconds, y that of the actual one.
struct RunTimeSums {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;

    bool operator==(const RunTimeSums&) const = default;

    /// Adds a run. All earlier runs lose half of their weight when their total becomes too large.
    void add(double logDeclared, double logRan, double runWeight);

    /// The logarithm of the run time that is expected. Precondition: weight > 0.
    double expected(double logDeclared) const;
};

} // namespace WisteriaHill::Scheduling
