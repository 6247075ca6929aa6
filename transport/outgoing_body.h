// The body of a request to be sent, as a body type of Boost.Beast. Included only within transport/.
#pragma once

#include "transport/received_body.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace parsleyloft {

// Sends a received body from its segments, without a copy.
struct outgoing_body
{
    struct value_type
    {
        // Used if there is no received body.
        std::string text;
        shared_body received;
    };

    static auto size(const value_type &body) -> std::uint64_t
    {
        return body.received ? body.received->size : body.text.size();
    }

    struct writer
    {
        using const_buffers_type = boost::asio::const_buffer;

        template<bool isRequest, typename fields>
        explicit writer(const boost::beast::http::header<isRequest, fields> & /*header*/,
                        const value_type &sent)
            : body(sent)
        { }

        auto init(boost::system::error_code &error) -> void { error = {}; }

        // The next buffer, and whether another one follows.
        auto get(boost::system::error_code &error)
                -> boost::optional<std::pair<const_buffers_type, bool>>
        {
            error = {};
            if (!body.received)
                return {{boost::asio::buffer(body.text), false}};
            const auto &segments = body.received->segments;
            if (next == segments.size())
                return boost::none;
            const auto &segment = segments[next++];
            return {{boost::asio::buffer(segment.bytes.get(), segment.used),
                     next < segments.size()}};
        }

        const value_type &body;
        std::size_t next = 0;
    };
};

} // namespace parsleyloft
