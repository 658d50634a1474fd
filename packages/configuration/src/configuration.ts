/**
 * A published configuration, checked and joined.
 *
 * @packageDocumentation
 */

import { type Generation, generation, type ServiceName, serviceName, type UpstreamId, upstreamId } from "@harrierhitch/core";
import { createHash } from "node:crypto";
import { checkDocument, type Checked } from "./check.js";
import { configurationSchema, type ConfigurationValues } from "./configuration-schema.js";
import type { Finding } from "./finding.js";
import { LocatedIni } from "./located-ini.js";
import { Router } from "./router.js";
import { checkPolicies, type ServicePolicy } from "./service-policy.js";

/** A kind of request. */
export type Kind = ConfigurationValues["kind"][string] & { readonly name: string; };

/** An upstream as configured. */
export interface Upstream {
    readonly id: UpstreamId;
    readonly address: string;
    readonly port: number;
    readonly availabilityZone: string;
    readonly slots: number;
}

/** A service with its policy and its upstreams. */
export interface Service extends Omit<ConfigurationValues["service"][string], "policy" | "shedStatuses"> {
    readonly name: ServiceName;
    readonly policy: ServicePolicy;
    readonly upstreams: readonly Upstream[];
    readonly shedStatuses: ReadonlySet<number>;
}

/** A route from a method and a path to a service and a kind. */
export interface Route {
    readonly name: string;
    readonly method: ConfigurationValues["route"][string]["method"];
    readonly path: string;
    readonly service: Service;
    readonly kind: Kind;
}

/** A configuration that passed all checks. */
export interface Configuration {
    readonly generation: Generation;
    /** SHA-256 of the document's text, in hexadecimal. */
    readonly hash: string;
    readonly fleet: ConfigurationValues["fleet"];
    readonly services: ReadonlyMap<ServiceName, Service>;
    readonly routes: readonly Route[];
    /** Finds one of the routes. */
    readonly router: Router;
}

/** Largest published document, in bytes: the platform holds values up to a megabyte. */
export const maximumDocumentBytes = 1_048_576;

/**
 * Reads and checks a published configuration.
 *
 * The result depends on the text alone, so that every instance judges a
 * document alike.
 *
 * @param file - Name of the file or key, for findings.
 * @param text - The document's text.
 * @returns The configuration, or all findings.
 */
export const checkConfiguration = (file: string, text: string): Checked<Configuration> => {
    if (Buffer.byteLength(text) > maximumDocumentBytes) {
        const message = `the document has more than ${maximumDocumentBytes} bytes`;
        return { value: undefined, findings: [{ file, section: "", key: "", line: undefined, message }] };
    }
    const document = LocatedIni.read(file, text);
    const checked = checkDocument(document, configurationSchema);
    if (checked.value === undefined) {
        return checked;
    }
    const { policies, findings: policyFindings } = checkPolicies(document, checked.value.policy);
    const findings = [...policyFindings, ...checkReferences(document, checked.value)];
    if (findings.length > 0) {
        return { value: undefined, findings };
    }
    const configuration = join(text, checked.value, policies);
    const routeFindings = addRoutes(document, configuration);
    return routeFindings.length > 0
        ? { value: undefined, findings: routeFindings }
        : { value: configuration, findings: [] };
};

const addRoutes = (document: LocatedIni, configuration: Configuration): readonly Finding[] =>
    configuration.routes.flatMap(route => {
        const section = `route.${route.name}`;
        const message = configuration.router.add(route);
        const line = document.lineOf(section, "path");
        return message === undefined ? [] : [{ file: document.file, section, key: "path", line, message }];
    });

const checkReferences = (document: LocatedIni, values: ConfigurationValues): readonly Finding[] => {
    const finding = (section: string, key: string, message: string): Finding => {
        return { file: document.file, section, key, line: document.lineOf(section, key), message };
    };
    const reference = (section: string, key: string, target: "policy" | "service" | "kind", name: string) =>
        Object.hasOwn(values[target], name) ? [] : [finding(section, key, `there is no section [${target}.${name}]`)];
    const upstreams = Object.entries(values.upstream);
    const routes = Object.entries(values.route);
    return [
        ...Object.entries(values.service).flatMap(([name, service]) => [
            ...reference(`service.${name}`, "policy", "policy", service.policy),
            ...(upstreams.some(([, upstream]) => upstream.service === name)
                ? []
                : [finding(`service.${name}`, "", "no upstream belongs to this service, so it would answer nothing")]),
        ]),
        ...upstreams.flatMap(([name, upstream]) => [
            ...reference(`upstream.${name}`, "service", "service", upstream.service),
            ...duplicateOf(upstreams, name, other => `${other.address}:${other.port}`)
                .map(first => finding(`upstream.${name}`, "port", `same address and port as [upstream.${first}]`)),
        ]),
        ...routes.flatMap(([name, route]) => [
            ...reference(`route.${name}`, "service", "service", route.service),
            ...reference(`route.${name}`, "kind", "kind", route.kind),
            ...duplicateOf(routes, name, other => `${other.method} ${other.path.replace(/:[^/]+/g, ":")}`)
                .map(first => finding(`route.${name}`, "path", `same method and path as [route.${first}]`)),
        ]),
        ...Object.entries(values.kind)
            .filter(([, kind]) => kind.timeoutMs * 2 > values.fleet.keyTtlMs && !kind.repeatable)
            .map(([name]) => finding(`kind.${name}`, "timeoutMs", "more than half of keyTtlMs in [fleet]")),
        ...(routes.length === 0 ? [finding("", "", "there is no route, so every request would be refused")] : []),
    ];
};

const duplicateOf = <Value>(
    entries: readonly (readonly [string, Value])[],
    name: string,
    identity: (value: Value) => string,
): readonly string[] => {
    const own = entries.find(([other]) => other === name);
    const first = own && entries.find(([, value]) => identity(value) === identity(own[1]));
    return first === undefined || first[0] === name ? [] : [first[0]];
};

const join = (text: string, values: ConfigurationValues, policies: ReadonlyMap<string, ServicePolicy>): Configuration => {
    const services = new Map(
        Object.entries(values.service).map(([name, section]) => {
            const service: Service = {
                ...section,
                name: serviceName(name),
                policy: defined(policies.get(section.policy)),
                shedStatuses: new Set(section.shedStatuses.split(",").map(Number)),
                upstreams: Object.entries(values.upstream)
                    .filter(([, upstream]) => upstream.service === name)
                    .map(([id, { service: _, ...upstream }]) => ({ ...upstream, id: upstreamId(id) })),
            };
            return [service.name, service] as const;
        }),
    );
    const routes = Object.entries(values.route).map(([name, route]): Route => ({
        name,
        method: route.method,
        path: route.path,
        service: defined(services.get(serviceName(route.service))),
        kind: { ...defined(values.kind[route.kind]), name: route.kind },
    }));
    const hash = createHash("sha256").update(text).digest("hex");
    return { generation: generation(values.generation), hash, fleet: values.fleet, services, routes, router: new Router() };
};

const defined = <Value>(value: Value | undefined): Value => {
    if (value === undefined) {
        throw new TypeError("a reference was not checked");
    }
    return value;
};
