// JSON encoding of generated messages, with the field names of the schema.
#include "codec/json.h"

#include <google/protobuf/util/json_util.h>

namespace parsleyloft {

namespace json = google::protobuf::util;

namespace {

auto parseJson(const std::string &text, google::protobuf::Message &message, bool ignoreUnknown)
        -> result<void>
{
    json::JsonParseOptions options;
    options.ignore_unknown_fields = ignoreUnknown;
    const auto status = json::JsonStringToMessage(text, &message, options);
    if (!status.ok())
        return failure(error_code::InvalidInput, std::string(status.message()));
    return {};
}

} // namespace

auto toJson(const google::protobuf::Message &message, json_layout layout) -> std::string
{
    json::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.add_whitespace = layout == json_layout::Indented;
    std::string text;
    // Printing fails only for messages with invalid UTF-8, which the schema's parser refuses.
    (void)json::MessageToJsonString(message, &text, options);
    return text;
}

auto readJson(const std::string &text, google::protobuf::Message &message) -> result<void>
{
    return parseJson(text, message, false);
}

auto readLenientJson(const std::string &text, google::protobuf::Message &message) -> result<void>
{
    return parseJson(text, message, true);
}

} // namespace parsleyloft
