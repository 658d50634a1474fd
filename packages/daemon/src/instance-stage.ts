/** Stage in an instance's lifecycle. */
export type InstanceStage = "starting" | "serving" | "stopping";
