/**
 * Identifier types. Each has its own brand, so that the compiler rejects, for example, an upstream id where an instance id is
 * expected.
 *
 * @packageDocumentation
 */

import type { Branded } from "./brand.js";

/** Identifies an instance in the instance list and in request ids. */
export type InstanceId = Branded<string, "InstanceId">;

/** Identifies an upstream. */
export type UpstreamId = Branded<string, "UpstreamId">;

/** Name of a service in the published configuration. */
export type ServiceName = Branded<string, "ServiceName">;

/** Identifies a request: the id of the deciding instance, its incarnation and a sequence number. */
export type RequestId = Branded<string, "RequestId">;

/**
 * Hash of a request's content, which is the same on every instance: 16 hexadecimal digits for method, host and path,
 * then 8 each for caller, query and body.
 */
export type RequestKey = Branded<string, "RequestKey">;

/** Number of a published configuration; a configuration with a higher number replaces one with a lower number. */
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
