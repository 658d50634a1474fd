/**
 * The protobuf messages and services between harrierhitch processes. The generated code is
 * committed; `npm run generate` regenerates it.
 *
 * @packageDocumentation
 */

export * from "./generated/harrierhitch/explanation/v1/explanation_pb.js";
export * from "./generated/harrierhitch/fleet/v1/fleet_pb.js";
export * from "./generated/harrierhitch/operator/v1/operator_pb.js";
