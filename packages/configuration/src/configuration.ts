/**
 * Parsing and validation of the published configuration.
 *
 * @packageDocumentation
 */

import { generation, type ServiceName, serviceName, upstreamId } from "@harrierhitch/core";
import type { CheckResult } from "./check.js";
import { anyMethod, configurationSchema, type ConfigurationValues } from "./configuration-schema.js";
import { type ConfigurationVersion, LazyConfigurationVersion, lazyDocumentHash } from "./configuration-version.js";
import type { Finding } from "./finding.js";
import { IniDocument } from "./ini-document.js";
import type { Route, RouteGroup } from "./route.js";
import { Router } from "./router.js";
import { SectionCache } from "./section-cache.js";
import { checkPolicies, type ServicePolicy } from "./service-policy.js";
import type { Service } from "./service.js";

/** A valid configuration with all references resolved. */
export interface Configuration extends ConfigurationVersion {
    /** The generation and the hash alone. */
    readonly version: ConfigurationVersion;
    readonly fleet: ConfigurationValues["fleet"];
    readonly services: ReadonlyMap<ServiceName, Service>;
    readonly callers: ConfigurationValues["callers"];
    readonly routes: readonly RouteGroup[];
    /** Matches requests to the routes. */
    readonly router: Router;
}

/** Maximum size of a published document in bytes; larger values cannot be stored on the platform. */
export const maximumDocumentBytes = 1_048_576;

/** The sections of which a configuration has many, and a version changes few. */
const checkedSections = new SectionCache(configurationSchema, ["kind", "route"]);

/** Definitions outside the document that its validation depends on. */
export interface ConfigurationContext {
    /** Policies defined outside the document; policies of the document with the same name take precedence. */
    readonly policies?: ReadonlyMap<string, ServicePolicy>;
    /** Whether upstreams come from service discovery, so that services may have no configured upstreams. */
    readonly discoversUpstreams?: boolean;
    /** Whether a configuration without routes is valid, because its author may remove the last one. */
    readonly mayHaveNoRoutes?: boolean;
}

/**
 * Parses and checks a published configuration. The result depends only on the text, so that all instances agree on it.
 *
 * @param file - File name or key for findings.
 * @param text - The text of the document.
 * @returns The configuration, or all findings.
 */
export const checkConfiguration = (file: string, text: string): CheckResult<Configuration> =>
    checkDocumentSize(file, text) ?? checkParsedConfiguration(IniDocument.parse(file, text), lazyDocumentHash(text));

/**
 * Checks a parsed configuration, which may have been published in a syntax other than INI.
 *
 * @param document - The parsed document.
 * @param documentHash - Returns the hash of the published text; called when the hash is first read.
 * @param context - Definitions outside the document.
 * @returns The configuration, or all findings.
 */
export const checkParsedConfiguration = (
    document: IniDocument,
    documentHash: () => string,
    context: ConfigurationContext = {},
): CheckResult<Configuration> => {
    const checked = checkedSections.check(document);
    if (checked.value === undefined) {
        return checked;
    }
    const { policies: documentPolicies, findings: policyFindings } = checkPolicies(document, checked.value.policy);
    const policies = new Map([...context.policies ?? [], ...documentPolicies]);
    const findings = [...policyFindings, ...checkReferences(document, checked.value, context)];
    if (findings.length > 0) {
        return { value: undefined, findings };
    }
    const configuration = resolveReferences(documentHash, checked.value, policies);
    const routeFindings = addRoutes(document, configuration);
    return routeFindings.length > 0
        ? { value: undefined, findings: routeFindings }
        : { value: configuration, findings: [] };
};

/** Returns a finding if a document exceeds {@link maximumDocumentBytes}, otherwise `undefined`. */
export const checkDocumentSize = (file: string, text: string): CheckResult<never> | undefined => {
    if (Buffer.byteLength(text) <= maximumDocumentBytes) {
        return undefined;
    }
    const message = `the document has more than ${maximumDocumentBytes} bytes`;
    return { value: undefined, findings: [{ file, section: "", key: "", line: undefined, message }] };
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
    { discoversUpstreams = false, mayHaveNoRoutes = false, policies }: ConfigurationContext,
): readonly Finding[] => {
    const findingAt = (section: string, key: string, message: string): Finding => {
        return { file: document.file, section, key, line: document.lineOf(section, key), message };
    };
    const checkReference = (section: string, key: string, target: "policy" | "service" | "kind", name: string) =>
        Object.hasOwn(values[target], name) || target === "policy" && policies?.has(name) === true
            ? []
            : [findingAt(section, key, `there is no section [${target}.${name}]`)];
    const upstreams = Object.entries(values.upstream);
    const routes = Object.entries(values.route);
    const duplicatedUpstream = findDuplicates(upstreams, other => `${other.address}:${other.port}`);
    const duplicatedRoute = findDuplicates(routes, routeIdentity);
    return [
        ...Object.entries(values.service).flatMap(([name, service]) => [
            ...checkReference(`service.${name}`, "policy", "policy", service.policy),
            ...(discoversUpstreams || upstreams.some(([, upstream]) => upstream.service === name)
                ? []
                : [findingAt(`service.${name}`, "", "no upstream belongs to this service, so all its requests would fail")]),
        ]),
        ...upstreams.flatMap(([name, upstream]) => [
            ...checkReference(`upstream.${name}`, "service", "service", upstream.service),
            ...duplicatedUpstream(name).map(first =>
                findingAt(`upstream.${name}`, "port", `same address and port as [upstream.${first}]`)
            ),
        ]),
        ...routes.flatMap(([name, route]) => [
            ...parseServiceWeights(route.service).flatMap(({ service }) =>
                checkReference(`route.${name}`, "service", "service", service)
            ),
            ...checkReference(`route.${name}`, "kind", "kind", route.kind),
            ...duplicatedRoute(name).map(first => findingAt(`route.${name}`, "path", `same method and path as [route.${first}]`)),
        ]),
        ...Object.entries(values.kind).flatMap(([name, kind]) =>
            kind.policy === undefined ? [] : checkReference(`kind.${name}`, "policy", "policy", kind.policy)
        ),
        ...(routes.length === 0 && !mayHaveNoRoutes
            ? [findingAt("", "", "there is no route, so every request would be rejected")]
            : []),
    ];
};

/** Returns a key that is equal for routes that match the same requests; parameter names do not matter, and prefixes have none. */
const routeIdentity = ({ method, host, path }: ConfigurationValues["route"][string]): string =>
    `${method} ${host} ${method === anyMethod ? path : path.replace(/:[^/]+/g, ":")}`;

/** Returns a function that maps the name of an entry to the name of the first entry with the same identity, if any. */
const findDuplicates = <Value>(
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

interface ServiceWeight {
    readonly service: string;
    readonly weight: number;
}

/** Parses the services of a route; a single service without a weight receives all requests. */
const parseServiceWeights = (text: string): readonly ServiceWeight[] =>
    text.split(",").map(part => {
        const [service = "", weight = "1"] = part.trim().split(":");
        return { service, weight: Number(weight) };
    });

/** Builds the configuration from checked values, replacing names by the sections that they refer to. */
const resolveReferences = (
    documentHash: () => string,
    values: ConfigurationValues,
    policies: ReadonlyMap<string, ServicePolicy>,
): Configuration => {
    const services = new Map(
        Object.entries(values.service).map(([name, section]) => {
            const service: Service = {
                ...section,
                name: serviceName(name),
                policy: assertDefined(policies.get(section.policy)),
                shedStatuses: new Set(section.shedStatuses.split(",").map(Number)),
                upstreams: Object.entries(values.upstream)
                    .filter(([, upstream]) => upstream.service === name)
                    .map(([id, { service: _, ...upstream }]) => ({ ...upstream, id: upstreamId(id) })),
            };
            return [service.name, service] as const;
        }),
    );
    const routes = Object.entries(values.route).map(([name, route]): RouteGroup => {
        const { policy: policyName, ...section } = assertDefined(values.kind[route.kind]);
        const kind = { ...section, name: route.kind };
        const { method, host, path } = route;
        const toRoute = (service: Service): Route => {
            const policy = policyName === undefined ? service.policy : assertDefined(policies.get(policyName));
            return { name, method, path, service, kind, policy };
        };
        const destinations = parseServiceWeights(route.service).map(({ service, weight }) => {
            return { weight, route: toRoute(assertDefined(services.get(serviceName(service)))) };
        });
        return { name, method, host, path, destinations };
    });
    const { fleet, callers } = values;
    const version = new LazyConfigurationVersion(generation(values.generation), documentHash);
    return {
        version,
        generation: version.generation,
        get hash() {
            return version.hash;
        },
        fleet,
        callers,
        services,
        routes,
        router: new Router(),
    };
};

/** Returns a value that the earlier checks guarantee to be defined. */
const assertDefined = <Value>(value: Value | undefined): Value => {
    if (value === undefined) {
        throw new TypeError("a reference of the configuration is unresolved");
    }
    return value;
};
