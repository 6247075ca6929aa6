// JSON of generated messages, with the schema's own field names.
#pragma once

#include "core/error.h"

#include <google/protobuf/message.h>
#include <string>

namespace parsleyloft {

enum class json_layout { Compact, Indented };

inline constexpr name_table<json_layout, 2> jsonLayoutNames{{
        {json_layout::Compact, "compact"},
        {json_layout::Indented, "indented"},
}};

auto toJson(const google::protobuf::Message &message, json_layout layout = json_layout::Compact)
        -> std::string;

// Reads a message. Unknown fields are errors. Fails with InvalidInput.
auto readJson(const std::string &text, google::protobuf::Message &message) -> result<void>;

// As readJson, for messages of other systems: unknown fields are passed over.
auto readLenientJson(const std::string &text, google::protobuf::Message &message) -> result<void>;

} // namespace parsleyloft
