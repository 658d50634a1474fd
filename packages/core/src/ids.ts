/**
 * The identifiers of harrierhitch. Each has its own brand, so that the compiler
 * rejects, for example, an upstream's id where an instance's id is expected.
 *
 * @packageDocumentation
 */

import type { Branded } from "./brand.js";

/** Names one run of an entry instance's daemon in the instance list and in request ids. */
export type InstanceId = Branded<string, "InstanceId">;

/** Names one upstream in the published configuration. */
export type UpstreamId = Branded<string, "UpstreamId">;

/** Names one service in the published configuration. */
export type ServiceName = Branded<string, "ServiceName">;

/** Names one request: the instance that decided, its incarnation and a running number. */
export type RequestId = Branded<string, "RequestId">;

/**
 * Tells what a request asks for, the same whichever instance it arrives at: 16 hexadecimal digits over method, host and
 * path, then 8 each over caller, query and body.
 */
export type RequestKey = Branded<string, "RequestKey">;

/** Numbers the published configurations; a higher one replaces a lower one. */
export type Generation = Branded<number, "Generation">;

/** Brands a string as an {@link InstanceId}. */
export const instanceId = (text: string): InstanceId => text as InstanceId;

/** Brands a string as an {@link UpstreamId}. */
export const upstreamId = (text: string): UpstreamId => text as UpstreamId;

/** Brands a string as a {@link ServiceName}. */
export const serviceName = (text: string): ServiceName => text as ServiceName;

/** Brands a string as a {@link RequestId}. */
export const requestId = (text: string): RequestId => text as RequestId;

/** Brands a string as a {@link RequestKey}. */
export const requestKey = (text: string): RequestKey => text as RequestKey;

/** Brands a number as a {@link Generation}. */
export const generation = (value: number): Generation => value as Generation;
