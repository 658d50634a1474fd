/**
 * Times for requests that wait for newer state.
 *
 * @packageDocumentation
 */

/** Part of the bound that is left to requests for opening a connection and reaching their upstream, in milliseconds. */
export const sendReserveMs = 150;

/** Time after which a call to the platform without a response has failed, in milliseconds. */
const failedCallMs = 1000;

/** Longest time until the state of a reader that follows one that is not served arrives at the others, in milliseconds. */
export const readerArrivalMs = 500;

/** Longest wait of a request, in milliseconds: until newer state has arrived, or it is known that none can be had. */
export const maximumWaitMs = failedCallMs + readerArrivalMs;
