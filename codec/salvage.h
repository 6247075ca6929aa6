// Decodes JSON of other systems field by field, so that a malformed field costs only itself.
#pragma once

#include "core/error.h"

#include <google/protobuf/message.h>
#include <set>
#include <string>

namespace parsleyloft {

// Paths of the malformed fields of a decoded message, for example "routes[2].timeout_ms".
using malformed_fields = std::set<std::string>;

// Fills the message with every field that can be decoded and returns the paths of the others, whose
// fields keep their defaults. Unknown fields are ignored. Fails with InvalidInput when the text is
// not a JSON object, or is nested more than 100 levels deep.
auto salvageJson(const std::string &text, google::protobuf::Message &message)
        -> result<malformed_fields>;

} // namespace parsleyloft
