/// Proof that the machines of a service differ in speed. Pure: no clock, no input or output.
#pragma once

#include "scheduling/estimates/machinespeed.h"

namespace WisteriaHill::Scheduling::Estimates {

/// Two runs of different jobs on one machine have nothing in common but the machine: if machines do not differ, the
/// product of their residuals is zero on average, whatever the noise; if they differ, it is the variance among them.
/// Thread safety: none.
class Unevenness {
public:
    /// Adds a run that counts. Far outliers are left out: they are tails or disturbances. Returns whether it counts.
    bool addRun(double residual, double weight);

    /// Adds a product of residuals of two such runs.
    void addPair(double product, double weight);

    /// True from the moment when the proof holds until machines are seen to be much alike.
    bool isProved() const { return this->proved; }

    /// Both parts, never below a floor.
    Spread spread() const;

    struct Sums {
        double runs = 0;
        double squares = 0; ///< of residuals
        double pairs = 0;
        double products = 0;
        double productSquares = 0;

        bool operator==(const Sums&) const = default;
    };

    const Sums& sums() const { return this->counted; }
    void restore(const Sums& sums, bool wasProved);

private:
    void judge();

    Sums counted;
    bool proved = false;
};

} // namespace WisteriaHill::Scheduling::Estimates
