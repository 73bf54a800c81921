package dev.ibishub.settings;

/** Schemas of the published configuration: the base and the overlay of a site. */
final class PublishedKeys {
  static final String NAME = "name";
  static final String TARGET = "target";

  private static final double MAXIMUM_WEIGHT = 1_000_000;
  private static final double MAXIMUM_RATE_PER_SECOND = 1_000_000_000;

  static final ObjectSchema SITE =
      ObjectSchema.of(
          Key.text(NAME, TextFormats.NAME, "Unique name of the site."),
          Key.texts("zones", TextFormats.NAME, "Failure domains of the site."));

  static final ObjectSchema WORKSPACE =
      ObjectSchema.of(
          Key.text(NAME, TextFormats.NAME, "Unique name of the workspace."),
          Key.texts(
              "keySha256",
              TextFormats.SHA256,
              "SHA-256 of each key that callers of the workspace may use; two while a key is"
                  + " changed. The key itself is never published."),
          Key.number(
                  "weight",
                  "",
                  0.001,
                  MAXIMUM_WEIGHT,
                  "Share of capacity against other workspaces when work waits.")
              .defaultingTo(1.0),
          Key.number(
                  "requestsPerSecond",
                  "requests/s",
                  0.001,
                  MAXIMUM_RATE_PER_SECOND,
                  "Most requests a second over all entries of the site.")
              .defaultingTo(MAXIMUM_RATE_PER_SECOND),
          Key.number(
                  "tokensPerSecond",
                  "tokens/s",
                  0.001,
                  MAXIMUM_RATE_PER_SECOND,
                  "Most tokens a second over all entries of the site.")
              .defaultingTo(MAXIMUM_RATE_PER_SECOND),
          Key.integer(
                  "maximumConcurrent",
                  "",
                  1,
                  1_000_000,
                  "Most requests in flight over all entries of the site.")
              .defaultingTo(1_000_000L),
          Key.integer("priority", "", 0, 9, "Higher runs first at the engine.").defaultingTo(0L));

  static final ObjectSchema MODEL =
      ObjectSchema.of(
          Key.text(NAME, TextFormats.NAME, "Unique name of the model, as callers give it."),
          Key.texts("versions", TextFormats.NAME, "Versions that callers may ask for."),
          Key.texts("adapters", TextFormats.NAME, "Adapters that callers may ask for."),
          Key.text("group", TextFormats.NAME, "Group that serves the model; left out for replicas.")
              .optional());

  static final ObjectSchema GROUP =
      ObjectSchema.of(
          Key.text(NAME, TextFormats.NAME, "Unique name of the group."),
          Key.integer("ranks", "", 1, 4_096, "How many ranks the group has."),
          Key.integer("experts", "", 1, 65_536, "How many experts a layer has."),
          Key.integer("layers", "", 1, 4_096, "How many layers have experts."),
          Key.integer(
                  "expertBytes",
                  "bytes",
                  1,
                  1L << 40,
                  "Size of the weights of one expert of one layer.")
              .defaultingTo(44_040_192L),
          Key.number(
                  "skewWeight",
                  "",
                  0,
                  MAXIMUM_WEIGHT,
                  "What step-time skew weighs when a move of experts is judged.")
              .defaultingTo(1.0),
          Key.number(
                  "costWeight",
                  "",
                  0,
                  MAXIMUM_WEIGHT,
                  "What the cost of rebalancing weighs when a move of experts is judged.")
              .defaultingTo(1.0));

  static final ObjectSchema UNREPEATABLE_CALL =
      ObjectSchema.of(
          Key.text("method", TextFormats.METHOD, "The HTTP method."),
          Key.text(
              "path",
              TextFormats.PATH,
              "The path behind the service's name, '*' for any part of it."));

  static final ObjectSchema SERVICE =
      ObjectSchema.of(
          Key.text(NAME, TextFormats.NAME, "Unique name of the service, as it stands in the path."),
          Key.sections(
              "unrepeatableCalls",
              UNREPEATABLE_CALL,
              "Calls that run at most once; all others may be repeated."));

  static final ObjectSchema PLACEMENT =
      ObjectSchema.of(
          Key.text(TARGET, TextFormats.NAME, "The target's id."),
          Key.texts("models", TextFormats.NAME, "Models that the target serves."),
          Key.texts("versions", TextFormats.NAME, "Versions of these that it loads; none for any."),
          Key.texts("adapters", TextFormats.NAME, "Adapters of these that it loads."),
          Key.text("service", TextFormats.NAME, "Plain service of the target, in place of models.")
              .optional());

  static final ObjectSchema BASE =
      ObjectSchema.of(
          Key.sections("sites", SITE, "The sites, each of which may have an overlay."),
          Key.sections("workspaces", WORKSPACE, "The customers."),
          Key.sections("models", MODEL, "The models."),
          Key.sections("groups", GROUP, "The expert-parallel groups."),
          Key.sections("services", SERVICE, "The plain services."),
          Key.sections("placements", PLACEMENT, "What each target serves."));

  static final ObjectSchema OVERLAY =
      ObjectSchema.of(
          Key.texts(
                  "servedWorkspaces",
                  TextFormats.NAME,
                  "Workspaces that the site serves; left out, it serves all.")
              .optional(),
          Key.texts(
                  "servedModels",
                  TextFormats.NAME,
                  "Models that the site serves; left out, all of them.")
              .optional(),
          Key.sections(
              "workspaces", WORKSPACE.partial(NAME), "Keys that differ here, and more workspaces."),
          Key.sections("models", MODEL.partial(NAME), "Keys that differ here, and more models."),
          Key.sections("groups", GROUP.partial(NAME), "Keys that differ here, and more groups."),
          Key.sections(
              "services", SERVICE.partial(NAME), "Keys that differ here, and more services."),
          Key.sections(
              "placements", PLACEMENT.partial(TARGET), "What each target of the site serves."));

  private PublishedKeys() {}
}
