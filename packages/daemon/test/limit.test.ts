/**
 * Guards against sending an upstream more requests than the rate limit that it announces to all instances together.
 */

import { testAnnouncedLimits } from "./model/announced-limits.js";

testAnnouncedLimits([
    { instances: 3, perSecond: 3.6 },
    { instances: 3, perSecond: 0.5 },
    { instances: 13, perSecond: 3.6 },
    { instances: 13, perSecond: 0.5 },
    { instances: 13, perSecond: 0.04, minimumUtilization: -1 },
    { instances: 13, perSecond: 20, demand: 200 },
]);
