package org.apricotdeal.relay.model;

/** What a request has in common with others, which may be the reason for what becomes of them. */
public sealed interface RequestTrait permits PromptPartId, RequestDigest {
    /**
     * Returns whether only copies of the same request have the trait.
     *
     * @return true for a digest of the whole request
     */
    default boolean isWholeRequest() {
        return switch (this) {
            case PromptPartId part -> false;
            case RequestDigest digest -> true;
        };
    }
}
