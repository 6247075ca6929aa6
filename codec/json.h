// JSON encoding of generated messages, with the field names of the schema.
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

// Parses a message. Fails with InvalidInput, also for unknown fields.
auto readJson(const std::string &text, google::protobuf::Message &message) -> result<void>;

// As readJson, but ignores unknown fields: for messages of other systems, which may add fields.
auto readLenientJson(const std::string &text, google::protobuf::Message &message) -> result<void>;

} // namespace parsleyloft
