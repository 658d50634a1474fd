/**
 * A published configuration, checked and joined.
 *
 * @packageDocumentation
 */

import { type Generation, generation, type ServiceName, serviceName, upstreamId } from "@harrierhitch/core";
import { createHash } from "node:crypto";
import { checkDocument, type CheckResult } from "./check.js";
import { configurationSchema, type ConfigurationValues } from "./configuration-schema.js";
import type { Finding } from "./finding.js";
import { IniDocument } from "./ini-document.js";
import type { Route, RouteGroup } from "./route.js";
import { Router } from "./router.js";
import { checkPolicies, type ServicePolicy } from "./service-policy.js";
import type { Service } from "./service.js";

/** A configuration that passed all checks. */
export interface Configuration {
    readonly generation: Generation;
    /** SHA-256 of the document's text, in hexadecimal. */
    readonly hash: string;
    readonly fleet: ConfigurationValues["fleet"];
    readonly services: ReadonlyMap<ServiceName, Service>;
    readonly callers: ConfigurationValues["callers"];
    readonly routes: readonly RouteGroup[];
    /** Finds one of the routes. */
    readonly router: Router;
}

/** Largest published document, in bytes: the platform holds values up to a megabyte. */
export const maximumDocumentBytes = 1_048_576;

/** What a configuration may build on besides its own text. */
export interface ConfigurationContext {
    /** Policies that stand outside the document; its own go before them. */
    readonly policies?: ReadonlyMap<string, ServicePolicy>;
    /** Whether upstreams are listed apart from the configuration, so that a service may name none. */
    readonly discoversUpstreams?: boolean;
}

/**
 * Reads and checks a published configuration.
 *
 * The result depends on the text and the context alone, so that every instance
 * judges a document alike.
 *
 * @param file - Name of the file or key, for findings.
 * @param text - The document's text.
 * @returns The configuration, or all findings.
 */
export const checkConfiguration = (file: string, text: string): CheckResult<Configuration> =>
    checkDocumentSize(file, text) ?? checkParsedConfiguration(IniDocument.parse(file, text), lazyDocumentHash(text));

/**
 * Checks the sections of a configuration that was published in another syntax.
 *
 * @param document - The sections.
 * @param hashOfText - Gives the hash of the published text when somebody asks for it.
 * @param context - What the configuration may build on.
 * @returns The configuration, or all findings.
 */
export const checkParsedConfiguration = (
    document: IniDocument,
    hashOfText: () => string,
    context: ConfigurationContext = {},
): CheckResult<Configuration> => {
    const checked = checkDocument(document, configurationSchema);
    if (checked.value === undefined) {
        return checked;
    }
    const { policies: ownPolicies, findings: policyFindings } = checkPolicies(document, checked.value.policy);
    const policies = new Map([...context.policies ?? [], ...ownPolicies]);
    const findings = [...policyFindings, ...checkReferences(document, checked.value, context)];
    if (findings.length > 0) {
        return { value: undefined, findings };
    }
    const configuration = join(hashOfText, checked.value, policies);
    const routeFindings = addRoutes(document, configuration);
    return routeFindings.length > 0
        ? { value: undefined, findings: routeFindings }
        : { value: configuration, findings: [] };
};

/** Says that a document is too large; `undefined` when it is not. */
export const checkDocumentSize = (file: string, text: string): CheckResult<never> | undefined => {
    if (Buffer.byteLength(text) <= maximumDocumentBytes) {
        return undefined;
    }
    const message = `the document has more than ${maximumDocumentBytes} bytes`;
    return { value: undefined, findings: [{ file, section: "", key: "", line: undefined, message }] };
};

/**
 * Gives the SHA-256 of a document's text in hexadecimal, worked out when it is first asked for: only other instances ask,
 * seconds after a start, and Node's cryptography takes a tenth of a start to load (29 of 333 ms, profiles of three starts).
 */
export const lazyDocumentHash = (text: string): () => string => {
    let hash: string | undefined;
    return () => {
        hash ??= createHash("sha256").update(text).digest("hex");
        return hash;
    };
};

const addRoutes = (document: IniDocument, configuration: Configuration): readonly Finding[] =>
    configuration.routes.flatMap(route => {
        const section = `route.${route.name}`;
        const message = configuration.router.add(route);
        const line = document.lineOf(section, "path");
        return message === undefined ? [] : [{ file: document.file, section, key: "path", line, message }];
    });

const checkReferences = (
    document: IniDocument,
    values: ConfigurationValues,
    { discoversUpstreams: listsUpstreams = false, policies }: ConfigurationContext,
): readonly Finding[] => {
    const finding = (section: string, key: string, message: string): Finding => {
        return { file: document.file, section, key, line: document.lineOf(section, key), message };
    };
    const reference = (section: string, key: string, target: "policy" | "service" | "kind", name: string) =>
        Object.hasOwn(values[target], name) || target === "policy" && policies?.has(name) === true
            ? []
            : [finding(section, key, `there is no section [${target}.${name}]`)];
    const upstreams = Object.entries(values.upstream);
    const routes = Object.entries(values.route);
    const sameUpstream = duplicatesIn(upstreams, other => `${other.address}:${other.port}`);
    const sameRoute = duplicatesIn(routes, routeIdentity);
    return [
        ...Object.entries(values.service).flatMap(([name, service]) => [
            ...reference(`service.${name}`, "policy", "policy", service.policy),
            ...(listsUpstreams || upstreams.some(([, upstream]) => upstream.service === name)
                ? []
                : [finding(`service.${name}`, "", "no upstream belongs to this service, so it would answer nothing")]),
        ]),
        ...upstreams.flatMap(([name, upstream]) => [
            ...reference(`upstream.${name}`, "service", "service", upstream.service),
            ...sameUpstream(name).map(first =>
                finding(`upstream.${name}`, "port", `same address and port as [upstream.${first}]`)
            ),
        ]),
        ...routes.flatMap(([name, route]) => [
            ...parseDestinations(route.service).flatMap(({ service }) =>
                reference(`route.${name}`, "service", "service", service)
            ),
            ...reference(`route.${name}`, "kind", "kind", route.kind),
            ...sameRoute(name).map(first => finding(`route.${name}`, "path", `same method and path as [route.${first}]`)),
        ]),
        ...Object.entries(values.kind).flatMap(([name, kind]) =>
            kind.policy === undefined ? [] : reference(`kind.${name}`, "policy", "policy", kind.policy)
        ),
        ...(routes.length === 0 ? [finding("", "", "there is no route, so every request would be refused")] : []),
    ];
};

const routeIdentity = ({ method, host, path }: ConfigurationValues["route"][string]): string =>
    `${method} ${host} ${path.replace(/:[^/]+/g, ":")}`;

/** Finds, for each entry, the first other one with the same identity. */
const duplicatesIn = <Value>(
    entries: readonly (readonly [string, Value])[],
    identity: (value: Value) => string,
): (name: string) => readonly string[] => {
    const firsts = new Map<string, string>();
    const duplicates = new Map<string, string>();
    entries.forEach(([name, value]) => {
        const first = firsts.get(identity(value));
        if (first === undefined) {
            firsts.set(identity(value), name);
        }
        else {
            duplicates.set(name, first);
        }
    });
    return name => [duplicates.get(name) ?? []].flat();
};

interface Destination {
    readonly service: string;
    readonly weight: number;
}

/** Reads the services of a route; one without a weight takes every request. */
const parseDestinations = (text: string): readonly Destination[] =>
    text.split(",").map(part => {
        const [service = "", weight = "1"] = part.trim().split(":");
        return { service, weight: Number(weight) };
    });

const join = (
    hashOfText: () => string,
    values: ConfigurationValues,
    policies: ReadonlyMap<string, ServicePolicy>,
): Configuration => {
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
    const routes = Object.entries(values.route).map(([name, route]): RouteGroup => {
        const { policy: policyName, ...section } = defined(values.kind[route.kind]);
        const kind = { ...section, name: route.kind };
        const { method, host, path } = route;
        const toRoute = (service: Service): Route => {
            const policy = policyName === undefined ? service.policy : defined(policies.get(policyName));
            return { name, method, path, service, kind, policy };
        };
        const choices = parseDestinations(route.service).map(({ service, weight }) => {
            return { weight, route: toRoute(defined(services.get(serviceName(service)))) };
        });
        return { name, method, host, path, destinations: choices };
    });
    const { fleet, callers } = values;
    return {
        generation: generation(values.generation),
        get hash() {
            return hashOfText();
        },
        fleet,
        callers,
        services,
        routes,
        router: new Router(),
    };
};

const defined = <Value>(value: Value | undefined): Value => {
    if (value === undefined) {
        throw new TypeError("a reference was not checked");
    }
    return value;
};
