// Decodes JSON of other systems field by field.
#include "codec/salvage.h"

#include "codec/json.h"

#include <google/protobuf/struct.pb.h>

namespace parsleyloft {

namespace {

namespace proto = google::protobuf;

auto salvageStruct(const proto::Struct &source, const std::string &path, proto::Message &message,
                   malformed_fields &malformed) -> void;

// Decodes a value that holds no other messages. Returns false when it is malformed.
auto decodeValue(const std::string &name, const proto::Value &value, proto::Message &message)
        -> bool
{
    proto::Struct single;
    (*single.mutable_fields())[name] = value;
    const std::unique_ptr<proto::Message> decoded(message.New());
    if (!readLenientJson(toJson(single), *decoded))
        return false;
    message.MergeFrom(*decoded);
    return true;
}

// Decodes a list of values. Malformed elements are left out.
auto salvageValues(const std::string &name, const proto::ListValue &list, const std::string &path,
                   proto::Message &message, malformed_fields &malformed) -> void
{
    int index = 0;
    for (const auto &element : list.values()) {
        proto::Value single;
        *single.mutable_list_value()->add_values() = element;
        if (!decodeValue(name, single, message))
            malformed.insert(path + "[" + std::to_string(index) + "]");
        ++index;
    }
}

auto salvageValue(const proto::FieldDescriptor &field, const proto::Value &value,
                  const std::string &path, proto::Message &message, malformed_fields &malformed)
        -> void
{
    if (decodeValue(field.name(), value, message))
        return;
    if (field.is_repeated() && value.kind_case() == proto::Value::kListValue)
        salvageValues(field.name(), value.list_value(), path, message, malformed);
    else
        malformed.insert(path);
}

auto salvageList(const proto::FieldDescriptor &field, const proto::Value &value,
                 const std::string &path, proto::Message &message, malformed_fields &malformed)
        -> void
{
    if (value.kind_case() == proto::Value::kNullValue)
        return;
    if (value.kind_case() != proto::Value::kListValue) {
        malformed.insert(path);
        return;
    }
    int index = 0;
    for (const auto &element : value.list_value().values()) {
        const auto elementPath = path + "[" + std::to_string(index++) + "]";
        // A malformed element is added empty, so that the indexes in the paths match.
        auto *added = message.GetReflection()->AddMessage(&message, &field);
        if (element.kind_case() == proto::Value::kStructValue)
            salvageStruct(element.struct_value(), elementPath, *added, malformed);
        else
            malformed.insert(elementPath);
    }
}

auto salvageStruct(const proto::Struct &source, const std::string &path, proto::Message &message,
                   malformed_fields &malformed) -> void
{
    for (const auto &[name, value] : source.fields()) {
        const auto *field = message.GetDescriptor()->FindFieldByName(name);
        if (field == nullptr)
            continue;
        const auto fieldPath = path.empty() ? name : path + "." + name;
        const auto isMessage = field->cpp_type() == proto::FieldDescriptor::CPPTYPE_MESSAGE;
        if (isMessage && field->is_repeated())
            salvageList(*field, value, fieldPath, message, malformed);
        else if (isMessage && value.kind_case() == proto::Value::kStructValue)
            salvageStruct(value.struct_value(), fieldPath,
                          *message.GetReflection()->MutableMessage(&message, field), malformed);
        else
            salvageValue(*field, value, fieldPath, message, malformed);
    }
}

} // namespace

auto salvageJson(const std::string &text, proto::Message &message) -> result<malformed_fields>
{
    // Well-formed messages need no second pass.
    if (readLenientJson(text, message))
        return malformed_fields{};
    message.Clear();
    proto::Struct source;
    const auto read = readLenientJson(text, source);
    if (!read)
        return tl::unexpected(read.error());
    malformed_fields malformed;
    salvageStruct(source, {}, message, malformed);
    return malformed;
}

} // namespace parsleyloft
