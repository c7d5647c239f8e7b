#ifndef WAXWINGLOFT_REQUEST_STARTWORTH_H
#define WAXWINGLOFT_REQUEST_STARTWORTH_H

namespace waxwingloft {

/** What a job earns by how long something takes from now, in the unit of worth of the users' sheets. */
struct StartWorth {
    double inTime = 0.0; ///< when it keeps its objective
    double late = 0.0; ///< when it misses its objective but does not expire
    double inTimeFor = 0.0; ///< longest time in seconds with which it is expected to keep its objective
    double lateFor = 0.0; ///< longest time in seconds with which it is expected not to expire
    double spread = 0.0; ///< seconds by which the objective may be missed or kept against that expectation

    /** Returns what is expected to be earned when it takes @p seconds. */
    double after(double seconds) const;
};

} // namespace waxwingloft

#endif
